package elmsail.soak;

import java.nio.file.Path;
import java.util.List;

/** What one run showed; its folder is kept where an invariant was broken. */
record SoakOutcome(
    long seed, List<Violation> violations, int accepted, String summary, Path folder) {}
