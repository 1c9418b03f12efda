package org.clementinesail.server.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.clementinesail.core.state.DesiredDocument;

/** Compressed documents: whole versions travel to every VM and through the log. */
public final class DocumentCompression {
  private DocumentCompression() {}

  /**
   * Returns a document for the log.
   *
   * @param version number of the version
   * @param document the document
   */
  public static DesiredDocument compress(long version, byte[] document) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(document.length / 4 + 64);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream deflate = new DeflaterOutputStream(out, deflater)) {
      deflate.write(document);
    } catch (IOException e) {
      throw new UncheckedIOException("writing to memory failed", e);
    } finally {
      deflater.end();
    }
    return new DesiredDocument(version, out.toByteArray());
  }

  /**
   * Returns the document as the operator sent it.
   *
   * @param document the document from the log
   */
  public static byte[] decompress(DesiredDocument document) {
    try (InflaterInputStream in =
        new InflaterInputStream(new ByteArrayInputStream(document.compressed()))) {
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException("version " + document.version() + " cannot be unpacked", e);
    }
  }
}
