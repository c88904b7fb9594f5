package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * What an engine publishes about the prefix of a chat in its cache, late and with gaps.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param upstream the engine
 * @param sequence the engine's number of the event, growing
 * @param chat the chat whose prefix it is
 * @param stored true when the prefix was stored, false when it was evicted
 */
public record CacheEvent(UpstreamId upstream, long sequence, ChatId chat, boolean stored) {}
