package org.ragworttide.fakes.demo;

/**
 * Check that the demo runs over HTTP; stateless.
 *
 * @param name the property that it checks
 * @param body the steps of the check
 */
record Check(String name, Body body) {

  /** Steps of a check, which return its result. */
  @FunctionalInterface
  interface Body {
    Result run() throws Exception;
  }

  /**
   * Result of a check.
   *
   * @param passed whether the property holds
   * @param seen observed figures, for people
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
