package org.ragworttide.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.ragworttide.document.ConfigurationDocument.Organisation;
import org.ragworttide.document.ConfigurationDocument.Route;

/** Reports how a request would be handled with a given document; stateless. */
final class ExplainRunner {

  private ExplainRunner() {}

  static Report run(Command.Explain command) {
    return switch (new Explainer(Documents.load(command.document())).explain(command)) {
      case Explanation.Refused refused ->
          new Report(
              ExitCode.NEGATIVE,
              "refused without running, status "
                  + refused.status()
                  + ": "
                  + refused.reason()
                  + "\n",
              json(refused));
      case Explanation.Routed routed -> new Report(ExitCode.OK, text(routed), json(routed));
    };
  }

  private static String text(Explanation.Routed routed) {
    Route route = routed.route();
    StringBuilder text = new StringBuilder();
    text.append("route: ").append(route.id()).append(" (").append(route.kind()).append(")\n");
    text.append("organisation: ")
        .append(routed.organisation().map(ExplainRunner::describe).orElse("none, open to all"))
        .append('\n');
    text.append("window: ").append(route.windowMillis()).append(" ms\n");
    text.append("repeats: ")
        .append(
            route.idempotent()
                ? "may be sent again until an answer has begun"
                : "needs an Idempotency-Key and runs at most once")
        .append('\n');
    text.append("candidates, in order:\n");
    for (Explanation.Candidate candidate : routed.candidates()) {
      text.append("  ").append(candidate.upstream()).append(" in ").append(candidate.zone());
      text.append(candidate.takesWork() ? "\n" : " (out of service)\n");
    }
    return text.toString();
  }

  private static String describe(Organisation organisation) {
    return "%s, %s requests per second, burst %s"
        .formatted(organisation.id(), organisation.ratePerSecond(), organisation.burst());
  }

  private static ObjectNode json(Explanation.Refused refused) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("routed", false)
        .put("status", refused.status())
        .put("reason", refused.reason());
  }

  private static ObjectNode json(Explanation.Routed routed) {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("routed", true).put("route", routed.route().id());
    json.put("idempotent", routed.route().idempotent());
    json.put("windowMillis", routed.route().windowMillis());
    routed
        .organisation()
        .ifPresent(
            organisation ->
                json.put("organisation", organisation.id())
                    .put("ratePerSecond", organisation.ratePerSecond())
                    .put("burst", organisation.burst()));
    ArrayNode list = json.putArray("candidates");
    for (Explanation.Candidate candidate : routed.candidates()) {
      list.addObject()
          .put("upstream", candidate.upstream())
          .put("zone", candidate.zone())
          .put("takesWork", candidate.takesWork());
    }
    return json;
  }
}
