package org.ragworttide.daemon.caller;

import org.ragworttide.coordination.id.OrganisationId;

/**
 * API key that admits requests, represented by its digest.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param sha256 lower-case hexadecimal SHA-256 of the key
 * @param organisation the organisation whose requests the key admits
 */
record CallerKey(String sha256, OrganisationId organisation) {}
