/** The HTTP client that sends requests to engines and services. */
package org.ragworttide.daemon.upstream;
