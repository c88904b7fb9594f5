/** The HTTP client towards engines and services. */
package org.ragworttide.daemon.upstream;
