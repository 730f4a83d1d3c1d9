/// Compares three ways to authenticate peers: the encrypted frames that nodes
/// use, TLS 1.3 with certificates over memory buffers, and a keyed MAC without
/// encryption. Bytes are exact; times depend on the machine. No figure has a
/// bound.
#include "base/clock.h"
#include "protocol/frame.h"

#include <openssl/evp.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define MESSAGE_SIZE 40 ///< bytes, about one heartbeat
#define MESSAGES 100000

/// The two ends of a TLS connection and the bytes that they have exchanged.
struct tls_pair
{
  SSL_CTX *context;
  SSL *client;
  SSL *server;
  size_t bytes;
};

static void
print_info (const char *name, double value, const char *unit)
{
  printf ("%s %.3f %s - info\n", name, value, unit);
}

static X509 *
make_certificate (EVP_PKEY *key)
{
  X509 *certificate = X509_new ();
  ASN1_INTEGER_set (X509_get_serialNumber (certificate), 1);
  X509_gmtime_adj (X509_getm_notBefore (certificate), 0);
  X509_gmtime_adj (X509_getm_notAfter (certificate), 86400);
  X509_set_pubkey (certificate, key);
  X509_NAME *name = X509_get_subject_name (certificate);
  X509_NAME_add_entry_by_txt (name, "CN", MBSTRING_ASC,
                              (const unsigned char *)"node", -1, -1, 0);
  X509_set_issuer_name (certificate, name);
  X509_sign (certificate, key, EVP_sha256 ());
  return certificate;
}

/// Accepts every certificate: only the cost is measured.
static int
accept_any (int preverified, X509_STORE_CTX *store)
{
  return 1;
}

static void
tls_init (struct tls_pair *pair)
{
  pair->context = SSL_CTX_new (TLS_method ());
  EVP_PKEY *key = EVP_EC_gen ("P-256");
  X509 *certificate = make_certificate (key);
  SSL_CTX_use_certificate (pair->context, certificate);
  SSL_CTX_use_PrivateKey (pair->context, key);
  SSL_CTX_set_verify (pair->context,
                      SSL_VERIFY_PEER | SSL_VERIFY_FAIL_IF_NO_PEER_CERT,
                      accept_any);
  X509_free (certificate);
  EVP_PKEY_free (key);
  pair->client = SSL_new (pair->context);
  pair->server = SSL_new (pair->context);
  SSL_set_bio (pair->client, BIO_new (BIO_s_mem ()), BIO_new (BIO_s_mem ()));
  SSL_set_bio (pair->server, BIO_new (BIO_s_mem ()), BIO_new (BIO_s_mem ()));
  SSL_set_connect_state (pair->client);
  SSL_set_accept_state (pair->server);
  pair->bytes = 0;
}

static void
tls_finish (struct tls_pair *pair)
{
  SSL_free (pair->client);
  SSL_free (pair->server);
  SSL_CTX_free (pair->context);
}

/// Passes the bytes that one end has written to the other end.
static void
tls_transfer (struct tls_pair *pair, SSL *from, SSL *to)
{
  char buffer[16384];
  int size;
  while ((size = BIO_read (SSL_get_wbio (from), buffer, sizeof buffer)) > 0)
    {
      BIO_write (SSL_get_rbio (to), buffer, size);
      pair->bytes += (size_t)size;
    }
}

static bool
tls_measure (void)
{
  struct tls_pair pair;
  char message[MESSAGE_SIZE] = { 0 };
  tls_init (&pair);
  uint64_t start = clock_monotonic_us ();
  for (int i = 0; i < 8 && !SSL_is_init_finished (pair.server); i++)
    {
      SSL_do_handshake (pair.client);
      tls_transfer (&pair, pair.client, pair.server);
      SSL_do_handshake (pair.server);
      tls_transfer (&pair, pair.server, pair.client);
    }
  bool succeeded = SSL_is_init_finished (pair.server)
                   && SSL_is_init_finished (pair.client);
  print_info ("auth_tls_handshake_us", (double)(clock_monotonic_us () - start),
              "us");
  print_info ("auth_tls_handshake", (double)pair.bytes, "bytes");
  pair.bytes = 0;
  start = clock_monotonic_us ();
  for (int i = 0; i < MESSAGES && succeeded; i++)
    {
      SSL_write (pair.client, message, sizeof message);
      tls_transfer (&pair, pair.client, pair.server);
      succeeded
          = SSL_read (pair.server, message, sizeof message) == MESSAGE_SIZE;
    }
  print_info ("auth_tls_message_us",
              (double)(clock_monotonic_us () - start) / MESSAGES, "us");
  /* TLS does not preserve message boundaries: add a length prefix. */
  print_info ("auth_tls_overhead",
              (double)pair.bytes / MESSAGES - MESSAGE_SIZE + FRAME_PREFIX_SIZE,
              "bytes/message");
  tls_finish (&pair);
  return succeeded;
}

static bool
frames_measure (void)
{
  static struct settings_key key = { 1, { 7 } };
  struct frame_identity identities[2]
      = { { "mesh", 1, &key, 1, FRAME_VERSION, FRAME_VERSION_LOWEST },
          { "mesh", 2, &key, 1, FRAME_VERSION, FRAME_VERSION_LOWEST } };
  struct frame_session sessions[2];
  uint8_t nonces[2][FRAME_NONCE_SIZE] = { { 1 }, { 2 } };
  uint8_t bytes[FRAME_PREFIX_SIZE + FRAME_HELLO_MAX];
  uint8_t message[MESSAGE_SIZE] = { 0 };
  struct frame frame;
  size_t handshake = 0;
  uint64_t start = clock_monotonic_us ();
  for (int i = 0; i < 2; i++)
    frame_session_init (&sessions[i], &identities[i], nonces[i]);
  for (int i = 0; i < 2; i++)
    {
      size_t size = frame_write_hello (&sessions[i], bytes);
      /* The HELLO, and the empty frame that authenticates its sender. */
      handshake += size + FRAME_PREFIX_SIZE + FRAME_TAG_SIZE;
      if (frame_next (&sessions[1 - i], bytes, size, &frame) != STATUS_OK)
        return false;
    }
  print_info ("auth_frame_handshake_us",
              (double)(clock_monotonic_us () - start), "us");
  print_info ("auth_frame_handshake", (double)handshake, "bytes");
  size_t sent = 0;
  start = clock_monotonic_us ();
  for (int i = 0; i < MESSAGES; i++)
    {
      uint8_t sealed[MESSAGE_SIZE + FRAME_PREFIX_SIZE + FRAME_TAG_SIZE];
      size_t size = frame_seal (&sessions[0], message, sizeof message, sealed);
      sent += size;
      if (frame_next (&sessions[1], sealed, size, &frame) != STATUS_OK)
        return false;
    }
  print_info ("auth_frame_message_us",
              (double)(clock_monotonic_us () - start) / MESSAGES, "us");
  print_info ("auth_frame_overhead", (double)sent / MESSAGES - MESSAGE_SIZE,
              "bytes/message");
  return true;
}

static void
mac_measure (void)
{
  uint8_t key[32] = { 7 };
  uint8_t tag[16];
  uint8_t message[MESSAGE_SIZE] = { 0 };
  uint64_t start = clock_monotonic_us ();
  for (int i = 0; i < 2 * MESSAGES; i++) /* one at each end */
    crypto_generichash (tag, sizeof tag, message, sizeof message, key,
                        sizeof key);
  print_info ("auth_mac_message_us",
              (double)(clock_monotonic_us () - start) / MESSAGES, "us");
  print_info ("auth_mac_overhead", sizeof tag + FRAME_PREFIX_SIZE,
              "bytes/message");
}

int
main (void)
{
  if (sodium_init () < 0)
    return 1;
  bool succeeded = frames_measure () && tls_measure ();
  mac_measure ();
  return succeeded ? 0 : 1;
}
