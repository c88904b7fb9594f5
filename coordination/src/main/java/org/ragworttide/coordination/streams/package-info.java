/**
 * Which software version began a stream, and who remembers it.
 *
 * <p>A stream may continue only at upstreams of the version that began it. Parts do not use
 * threads, clocks or sockets.
 */
package org.ragworttide.coordination.streams;
