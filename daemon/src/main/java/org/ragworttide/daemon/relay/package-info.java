/** Runs admitted requests on upstreams and brings their answers back whole. */
package org.ragworttide.daemon.relay;
