/**
 * The gateway's model of the operator's configuration and of the entries that upstreams publish.
 */
package org.ragworttide.gateway.model;
