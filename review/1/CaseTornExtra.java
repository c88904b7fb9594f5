import java.util.List;

/** A server sends the beginning of one more answer after a complete one; the rest never follows. */
final class CaseTornExtra {
  public static void main(String[] args) {
    Review.run(
        args,
        review -> {
          review.service("desk-app", false);
          review.route("puxa403", "unsafe", false, 1_500, 1, "desk-app");
          review.configure();
          PlainServer[] garbling = new PlainServer[1];
          garbling[0] =
              new PlainServer(
                  review, "i-1", "desk-app", 6, 4, 86, true, false,
                  (answer, shed) ->
                      shed && garbling[0].spoiled.get() + 1 <= 0.02 * garbling[0].answers.get()
                          ? answer.substring(0, answer.indexOf("\r\n@-Request-Id"))
                          : "");
          List<PlainServer> servers =
              List.of(
                  garbling[0],
                  new PlainServer(review, "i-2", "desk-app", 6, 4, 86, true, false, (answer, shed) -> ""),
                  new PlainServer(review, "i-3", "desk-app", 6, 4, 86, true, false, (answer, shed) -> ""));
          review.startGateways(2);
          List<Caller.Answer> answers = Bookings.send(review, 36, 25_000, 1_500);
          if (answers.stream().noneMatch(it -> it.status() == 200)) {
            throw new Review.CannotRun("no booking was served");
          }
          return Bookings.judge(review, answers, servers)[0] == 0;
        });
  }
}
