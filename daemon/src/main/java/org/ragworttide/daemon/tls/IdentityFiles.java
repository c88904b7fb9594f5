package org.ragworttide.daemon.tls;

import java.nio.file.Path;

/**
 * PEM files of a certificate chain and its private key.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param certificateFile the chain, own certificate first
 * @param keyFile the key in PKCS #8
 */
public record IdentityFiles(Path certificateFile, Path keyFile) {}
