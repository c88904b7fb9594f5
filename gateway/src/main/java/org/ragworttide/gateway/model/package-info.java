/** What the operator configures and upstreams publish, as the gateway sees it. */
package org.ragworttide.gateway.model;
