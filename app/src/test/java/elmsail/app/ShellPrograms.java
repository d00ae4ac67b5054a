package elmsail.app;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * Finds the programs that a plain shell script calls. It knows simple commands, lists, functions in
 * braces, quotes, redirections and lines that are continued. What it cannot follow (substitution of
 * commands, here-documents, variables as commands, compound commands) it refuses, so that no call
 * is missed silently.
 */
final class ShellPrograms {

  /** Built into the shell, so that no package is needed for them. */
  private static final Set<String> BUILT_IN = Set.of("set", "echo");

  /** Words whose commands would be missed. */
  private static final Set<String> COMPOUND =
      Set.of(
          "if", "for", "while", "until", "case", "eval", "exec", "command", "env", "xargs", ".",
          "!");

  private final String script;
  private final List<List<String>> commands = new ArrayList<>();
  private List<String> words = new ArrayList<>();
  private StringBuilder word;
  private int at;

  private ShellPrograms(String script) {
    this.script = script.replace("\\\n", " ");
  }

  /** The names of all programs called, without functions and builtins. */
  static Set<String> of(String script) {
    ShellPrograms reader = new ShellPrograms(script);
    reader.read();
    return reader.programs();
  }

  private void read() {
    for (at = 0; at < script.length(); at++) {
      char next = script.charAt(at);
      if (Character.isWhitespace(next) && next != '\n') {
        endWord();
      } else if (next == '#' && word == null) {
        skipComment();
      } else if (next == '\'' || next == '"') {
        quoted(next);
      } else if (next == '>' || next == '<') {
        redirection();
      } else if ("\n;&|".indexOf(next) >= 0) {
        endCommand();
      } else {
        plain(next);
      }
    }
    endCommand();
  }

  private void plain(char next) {
    if (next == '`' || next == '\\' || script.startsWith("$(", at)) {
      throw new IllegalArgumentException("cannot be followed at: " + script.substring(at));
    }
    append(next);
  }

  private void skipComment() {
    int end = script.indexOf('\n', at);
    at = (end < 0 ? script.length() : end) - 1;
  }

  private void quoted(char quote) {
    int end = script.indexOf(quote, at + 1);
    String text = script.substring(at + 1, end);
    if (quote == '"' && (text.contains("$(") || text.contains("`") || text.contains("\\"))) {
      throw new IllegalArgumentException("cannot be followed: " + text);
    }
    append('"');
    word.append(text);
    at = end;
  }

  /** Skips the operator and its file; a number before it is the descriptor's. */
  private void redirection() {
    if (script.startsWith("<<", at)) {
      throw new IllegalArgumentException("cannot be followed at: " + script.substring(at));
    }
    if (word != null && word.chars().allMatch(Character::isDigit)) {
      word = null;
    }
    endWord();
    while (at + 1 < script.length() && ">& ".indexOf(script.charAt(at + 1)) >= 0) {
      at++;
    }
    while (at + 1 < script.length() && " \n;&|".indexOf(script.charAt(at + 1)) < 0) {
      at++;
    }
  }

  private void append(char next) {
    if (word == null) {
      word = new StringBuilder();
    }
    word.append(next);
  }

  private void endWord() {
    if (word != null) {
      words.add(word.toString());
      word = null;
    }
  }

  private void endCommand() {
    endWord();
    if (!words.isEmpty()) {
      commands.add(words);
      words = new ArrayList<>();
    }
  }

  private Set<String> programs() {
    Set<String> functions = new HashSet<>();
    for (List<String> command : commands) {
      if (command.get(0).endsWith("()")) {
        functions.add(command.get(0).replace("()", ""));
      }
    }
    Set<String> programs = new TreeSet<>();
    for (List<String> command : commands) {
      addCalled(command, functions, programs);
    }
    return programs;
  }

  private static void addCalled(List<String> words, Set<String> functions, Set<String> programs) {
    int first = 0;
    while (first < words.size() && isNoCommand(words.get(first))) {
      first++;
    }
    if (first == words.size()) {
      return;
    }
    String name = words.get(first);
    if (COMPOUND.contains(name) || !name.matches("[a-z][a-z0-9._+-]*")) {
      throw new IllegalArgumentException("cannot be followed: " + String.join(" ", words));
    }
    if (functions.contains(name) || BUILT_IN.contains(name)) {
      return;
    }
    programs.add(name);
    if (name.equals("timeout")) {
      addCalled(words.subList(first + 2, words.size()), functions, programs);
    }
  }

  private static boolean isNoCommand(String word) {
    return word.equals("{")
        || word.equals("}")
        || word.endsWith("()")
        || word.matches("[A-Za-z_][A-Za-z_0-9]*=.*");
  }
}
