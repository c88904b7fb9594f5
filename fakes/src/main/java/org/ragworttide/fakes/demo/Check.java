package org.ragworttide.fakes.demo;

/**
 * One thing the demo proves over HTTP; stateless.
 *
 * @param name what holds when it passes
 * @param body what is done to show it
 */
record Check(String name, Body body) {

  /** Shows one thing and says what was seen. */
  @FunctionalInterface
  interface Body {
    Result run() throws Exception;
  }

  /**
   * What a check has seen.
   *
   * @param passed whether it holds
   * @param seen figures for the reader
   */
  record Result(boolean passed, String seen) {}

  Result run() {
    try {
      return body.run();
    } catch (Exception e) {
      return new Result(false, e.toString());
    }
  }
}
