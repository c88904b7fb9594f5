/** The HTTP server that accepts requests of callers. */
package org.ragworttide.daemon.caller;
