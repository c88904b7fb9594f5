package org.ragworttide.coordination.routing;

import org.ragworttide.coordination.id.ChatId;
import org.ragworttide.coordination.id.UpstreamId;

/**
 * Event that an engine publishes when it stores or evicts the prefix of a chat; events may arrive
 * late or not at all.
 *
 * <p>Immutable, safe for use by any thread.
 *
 * @param upstream the engine
 * @param sequence the number of the event, which increases per engine
 * @param chat the chat that the prefix belongs to
 * @param stored true when the prefix was stored, false when it was evicted
 */
public record CacheEvent(UpstreamId upstream, long sequence, ChatId chat, boolean stored) {}
