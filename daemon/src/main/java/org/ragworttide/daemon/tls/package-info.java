/** Certificates, keys and authorities from PEM files, read again when the files change. */
package org.ragworttide.daemon.tls;
