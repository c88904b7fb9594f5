package org.ragworttide.cli;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * What a command has to tell, for people and for programs; immutable by convention.
 *
 * @param exit the exit code
 * @param text lines for people
 * @param json the same for programs
 */
record Report(ExitCode exit, String text, JsonNode json) {}
