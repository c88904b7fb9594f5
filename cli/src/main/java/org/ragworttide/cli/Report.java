package org.ragworttide.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Output of a command as text and as JSON; immutable by convention.
 *
 * @param exit the exit code
 * @param text text for people
 * @param json the same content for programs
 */
record Report(ExitCode exit, String text, JsonNode json) {}
