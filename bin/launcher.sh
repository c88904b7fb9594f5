# Sourced by the launchers: builds missing modules and replaces the shell process with the program.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd) || exit 2

# Succeeds if the module's main class and every entry of its class path exist.
built() {
  local module=$1 main=$2 entry
  [ -f "$root/$module/target/classes/${main//.//}.class" ] || return 1
  [ -f "$root/$module/target/classpath.txt" ] || return 1
  local IFS=:
  for entry in $(<"$root/$module/target/classpath.txt"); do
    [ -e "$entry" ] || return 1
  done
}

# Builds all modules unless the module's main class and class path exist.
build_if_missing() {
  local module=$1 main=$2 log
  if built "$module" "$main"; then return 0; fi
  log=$(mktemp) || exit 2
  if ! "$root/build" -q -DskipTests package >"$log" 2>&1 </dev/null; then
    cat "$log" >&2
    rm -f "$log"
    echo "$(basename "$0"): the build failed" >&2
    exit 2
  fi
  rm -f "$log"
}

# Replaces the shell process with the main class of a module and the given arguments.
launch() {
  local module=$1 main=$2 home
  shift 2
  home=$("$root/build" --java-home) || exit 2
  build_if_missing "$module" "$main"
  # shellcheck disable=SC2086
  exec "$home/bin/java" --enable-native-access=ALL-UNNAMED \
    -Dslf4j.internal.verbosity=ERROR -Dragworttide.root="$root" ${JAVA_OPTS:-} \
    -cp "$root/$module/target/classes:$(<"$root/$module/target/classpath.txt")" "$main" "$@"
}
