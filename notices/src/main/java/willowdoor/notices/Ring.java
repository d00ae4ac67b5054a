package willowdoor.notices;

/**
 * A queue whose items keep the number under which they were added and can be read by that number.
 */
final class Ring<T> {
  private Object[] items = new Object[8];
  private long first;
  private long end;

  Ring(long first) {
    this.first = first;
    this.end = first;
  }

  /** Returns the number of the oldest item, or of the next item if the queue is empty. */
  long first() {
    return first;
  }

  /** Returns the number that the next item gets. */
  long end() {
    return end;
  }

  boolean isEmpty() {
    return first == end;
  }

  T get(long number) {
    if (number < first || number >= end) {
      throw new IndexOutOfBoundsException(number + " is not in " + first + " to " + end);
    }
    return at(number);
  }

  void add(T item) {
    if (end - first == items.length) {
      Object[] more = new Object[items.length * 2];
      for (long n = first; n < end; n++) {
        more[(int) (n & (more.length - 1))] = items[(int) (n & (items.length - 1))];
      }
      items = more;
    }
    items[(int) (end & (items.length - 1))] = item;
    end++;
  }

  T removeFirst() {
    T item = get(first);
    items[(int) (first & (items.length - 1))] = null;
    first++;
    return item;
  }

  /** Removes all items; the next item gets this number. */
  void restart(long number) {
    items = new Object[8];
    first = number;
    end = number;
  }

  @SuppressWarnings("unchecked")
  private T at(long number) {
    return (T) items[(int) (number & (items.length - 1))];
  }
}
