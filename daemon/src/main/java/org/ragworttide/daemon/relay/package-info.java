/** Runs admitted requests on upstreams and relays their answers to the callers. */
package org.ragworttide.daemon.relay;
