/** Certificates, keys and authorities from PEM files, reloaded when the files change. */
package org.ragworttide.daemon.tls;
