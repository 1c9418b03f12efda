package org.clementinesail.server.fleet;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.clementinesail.core.state.DesiredDocument;

/**
 * Compresses desired-state documents, because each version is sent whole to every VM and stored in
 * the replicated log.
 */
public final class DocumentCompression {
  private DocumentCompression() {}

  /**
   * Compresses a document for the log.
   *
   * @param version version number in the document
   * @param document document as the operator sent it
   */
  public static DesiredDocument compress(long version, byte[] document) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(document.length / 4 + 64);
    Deflater deflater = new Deflater(Deflater.BEST_SPEED);
    try (DeflaterOutputStream deflate = new DeflaterOutputStream(out, deflater)) {
      deflate.write(document);
    } catch (IOException e) {
      throw new UncheckedIOException("the desired state cannot be compressed", e);
    } finally {
      deflater.end();
    }
    return new DesiredDocument(version, out.toByteArray());
  }

  /**
   * Returns the document as the operator sent it.
   *
   * @param document compressed document from the log
   * @throws UncheckedIOException if the compressed bytes are invalid
   */
  public static byte[] decompress(DesiredDocument document) {
    try (InflaterInputStream in =
        new InflaterInputStream(new ByteArrayInputStream(document.compressed()))) {
      return in.readAllBytes();
    } catch (IOException e) {
      throw new UncheckedIOException(
          "desired state version " + document.version() + " cannot be decompressed", e);
    }
  }
}
