package org.ragworttide.gateway.feed;

import com.google.protobuf.ByteString;
import com.google.protobuf.CodedInputStream;
import com.google.protobuf.CodedOutputStream;
import com.google.protobuf.WireFormat;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.ragworttide.coordination.feed.Change;
import org.ragworttide.coordination.feed.ChangeBatch;
import org.ragworttide.coordination.feed.FeedStatus;
import org.ragworttide.coordination.feed.RetainedChange;

/**
 * Message of a VM to one that follows it: changes of the store, possibly none, and how current they
 * are.
 *
 * <p>The encoding is that of protobuf, with these fields: 1 revision, 2 revision before the
 * changes, 3 whether the changes are a listing, 4 grace period of a listing's deletions, 5 age of
 * the store's last answer, 6 whether the store is available, 7 addresses of the VMs on the way, 8
 * changes, 9 era of the store, 10 retained changes. A change has the fields 1 key, 2 revision, 3
 * value, 4 deflated value, 5 size of the inflated value, 6 grace period; it is a deletion if it has
 * no value. A retained change has the fields 1 change, 2 era, 3 remaining time. A message without
 * an era comes from an earlier build and is malformed. Immutable, safe for use by any thread.
 *
 * @param batch the changes
 * @param retained changes of earlier eras that the sender keeps, empty if it has sent them before
 * @param status how current they are
 */
record FeedMessage(ChangeBatch batch, List<RetainedChange> retained, FeedStatus status) {
  /** Values of this size and more are deflated; smaller ones would hardly shrink. */
  private static final int DEFLATE_BYTES = 512;

  /** Largest size of a value: the largest that a store of the users keeps, with a margin. */
  private static final int MAX_VALUE_BYTES = 2 * 1_024 * 1_024;

  private static final int NO_ERA = -1;

  private static final int REVISION = 1;
  private static final int AFTER = 2;
  private static final int LISTING = 3;
  private static final int LISTING_GRACE = 4;
  private static final int AGE = 5;
  private static final int AVAILABLE = 6;
  private static final int PATH = 7;
  private static final int CHANGE = 8;
  private static final int ERA = 9;
  private static final int RETAINED = 10;

  private static final int KEY = 1;
  private static final int CHANGE_REVISION = 2;
  private static final int VALUE = 3;
  private static final int DEFLATED = 4;
  private static final int INFLATED_BYTES = 5;
  private static final int GRACE = 6;

  private static final int RETAINED_CHANGE = 1;
  private static final int RETAINED_ERA = 2;
  private static final int RETAINED_REMAINING = 3;

  FeedMessage {
    retained = List.copyOf(retained);
  }

  byte[] encode() {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    try {
      out.writeUInt64(REVISION, batch.revision());
      out.writeUInt64(AFTER, batch.afterRevision());
      out.writeBool(LISTING, batch.listing());
      out.writeUInt64(LISTING_GRACE, batch.listingGraceMillis());
      out.writeUInt64(AGE, status.ageMillis());
      out.writeBool(AVAILABLE, status.available());
      for (long address : status.path()) {
        out.writeFixed64(PATH, address);
      }
      for (Change change : batch.changes()) {
        out.writeByteArray(CHANGE, encode(change));
      }
      out.writeUInt64(ERA, batch.era());
      for (RetainedChange change : retained) {
        out.writeByteArray(RETAINED, encode(change));
      }
      out.flush();
    } catch (IOException e) {
      throw new IllegalStateException("writing to a byte array failed", e);
    }
    return bytes.toByteArray();
  }

  private static byte[] encode(Change change) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeString(KEY, change.key());
    out.writeUInt64(CHANGE_REVISION, change.revision());
    if (change.value().isPresent()) {
      byte[] value = change.value().get();
      if (value.length >= DEFLATE_BYTES) {
        out.writeByteArray(DEFLATED, deflate(value));
        out.writeUInt32(INFLATED_BYTES, value.length);
      } else {
        out.writeByteArray(VALUE, value);
      }
    }
    out.writeUInt64(GRACE, change.graceMillis());
    out.flush();
    return bytes.toByteArray();
  }

  private static byte[] encode(RetainedChange retained) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    CodedOutputStream out = CodedOutputStream.newInstance(bytes);
    out.writeByteArray(RETAINED_CHANGE, encode(retained.change()));
    out.writeUInt64(RETAINED_ERA, retained.era());
    out.writeUInt64(RETAINED_REMAINING, retained.remainingMillis());
    out.flush();
    return bytes.toByteArray();
  }

  /** Returns the decoded message, empty if the bytes are malformed or a value is too large. */
  static Optional<FeedMessage> decode(byte[] bytes) {
    CodedInputStream in = CodedInputStream.newInstance(bytes);
    long era = NO_ERA;
    long revision = 0;
    long after = 0;
    boolean listing = false;
    long listingGraceMillis = 0;
    long ageMillis = 0;
    boolean available = false;
    List<Long> path = new ArrayList<>();
    List<Change> changes = new ArrayList<>();
    List<RetainedChange> retained = new ArrayList<>();
    try {
      for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
        switch (WireFormat.getTagFieldNumber(tag)) {
          case REVISION -> revision = in.readUInt64();
          case AFTER -> after = in.readUInt64();
          case LISTING -> listing = in.readBool();
          case LISTING_GRACE -> listingGraceMillis = in.readUInt64();
          case AGE -> ageMillis = in.readUInt64();
          case AVAILABLE -> available = in.readBool();
          case PATH -> path.add(in.readFixed64());
          case CHANGE -> changes.add(decodeChange(in.readBytes()));
          case ERA -> era = in.readUInt64();
          case RETAINED -> retained.add(decodeRetained(in.readBytes()));
          default -> in.skipField(tag);
        }
      }
      return Optional.of(
          new FeedMessage(
              new ChangeBatch(era, after, revision, listing, changes, listingGraceMillis),
              retained,
              new FeedStatus(available, ageMillis, path)));
    } catch (IOException | DataFormatException | IllegalArgumentException e) {
      return Optional.empty();
    }
  }

  private static Change decodeChange(ByteString bytes) throws IOException, DataFormatException {
    CodedInputStream in = bytes.newCodedInput();
    String key = "";
    long revision = 0;
    Optional<byte[]> value = Optional.empty();
    byte[] deflated = {};
    long graceMillis = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case KEY -> key = in.readString();
        case CHANGE_REVISION -> revision = in.readUInt64();
        case VALUE -> value = Optional.of(in.readByteArray());
        case DEFLATED -> deflated = in.readByteArray();
        case INFLATED_BYTES -> value = Optional.of(inflate(deflated, in.readUInt32()));
        case GRACE -> graceMillis = in.readUInt64();
        default -> in.skipField(tag);
      }
    }
    return new Change(key, revision, value, graceMillis);
  }

  private static RetainedChange decodeRetained(ByteString bytes)
      throws IOException, DataFormatException {
    CodedInputStream in = bytes.newCodedInput();
    Optional<Change> change = Optional.empty();
    long era = NO_ERA;
    long remainingMillis = 0;
    for (int tag = in.readTag(); tag != 0; tag = in.readTag()) {
      switch (WireFormat.getTagFieldNumber(tag)) {
        case RETAINED_CHANGE -> change = Optional.of(decodeChange(in.readBytes()));
        case RETAINED_ERA -> era = in.readUInt64();
        case RETAINED_REMAINING -> remainingMillis = in.readUInt64();
        default -> in.skipField(tag);
      }
    }
    return new RetainedChange(
        era,
        change.orElseThrow(() -> new DataFormatException("retained change is missing")),
        remainingMillis);
  }

  private static byte[] deflate(byte[] value) {
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try {
      deflater.setInput(value);
      deflater.finish();
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      byte[] buffer = new byte[4_096];
      while (!deflater.finished()) {
        out.write(buffer, 0, deflater.deflate(buffer));
      }
      return out.toByteArray();
    } finally {
      deflater.end();
    }
  }

  private static byte[] inflate(byte[] deflated, int size) throws DataFormatException {
    if (size < 0 || size > MAX_VALUE_BYTES) {
      throw new DataFormatException("value of " + size + " bytes");
    }
    Inflater inflater = new Inflater();
    try {
      inflater.setInput(deflated);
      byte[] value = new byte[size];
      if (inflater.inflate(value) != size) {
        throw new DataFormatException("value is shorter than stated");
      }
      return value;
    } finally {
      inflater.end();
    }
  }
}
