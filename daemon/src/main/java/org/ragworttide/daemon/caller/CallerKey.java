package org.ragworttide.daemon.caller;

import org.ragworttide.coordination.id.OrganisationId;

/**
 * A key that admits requests, known by its digest.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param sha256 lower-case hexadecimal SHA-256 of the key
 * @param organisation whose requests it admits
 */
record CallerKey(String sha256, OrganisationId organisation) {}
