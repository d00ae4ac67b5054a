package elmsail.lots;

import java.util.Map;

/** One item of a lot: its id, path, headers, decoded body and tokens (prompt and most out). */
public record Piece(String id, String lane, Map<String, String> envelope, byte[] contents, long tokens) {
}
