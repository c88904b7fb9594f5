package org.ragworttide.daemon.tls;

import java.security.GeneralSecurityException;
import java.security.PrivateKey;
import java.security.PublicKey;
import java.security.Signature;

/** Checks that a private and a public key form a key pair; stateless. */
final class KeyPairs {
  private static final byte[] SAMPLE = {1, 2, 3};

  private KeyPairs() {}

  static void requireMatch(PrivateKey privateKey, PublicKey publicKey)
      throws GeneralSecurityException {
    Signature signature = Signature.getInstance(algorithm(privateKey));
    signature.initSign(privateKey);
    signature.update(SAMPLE);
    byte[] signed = signature.sign();
    signature.initVerify(publicKey);
    signature.update(SAMPLE);
    if (!signature.verify(signed)) {
      throw new GeneralSecurityException("certificate and key do not belong together");
    }
  }

  private static String algorithm(PrivateKey key) {
    return switch (key.getAlgorithm()) {
      case "EC" -> "SHA256withECDSA";
      case "RSA" -> "SHA256withRSA";
      default -> "Ed25519";
    };
  }
}
