/* Tests of TLS at the entry, with a real vanillahookd process and an OpenSSL
   client.  */

#include "harness.h"
#include "suite.h"

#include <arpa/inet.h>
#include <check.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  WAIT_MS = 15000,
  STEP_MS = 50,
  KEY_BITS = 2048,
  DAY_S = 86400,
  /* Longer than the interval at which the process checks the files.  */
  CHECK_WAIT_MS = 2200,
  HELD_COUNT = 20,
  RECORD_BYTES_MAX = 16384
};

#define REQUEST_TEXT                                                          \
  "GET /v1/models HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n"

/* How far a client is when its connection is held.  */
typedef enum
{
  HELD_CONNECTED,       /* Nothing was sent.  */
  HELD_IN_HELLO,        /* A part of the first record was sent.  */
  HELD_AFTER_HELLO,     /* The server's messages are not read.  */
  HELD_IN_FINISHED,     /* A part of the last record was sent.  */
  HELD_AFTER_HANDSHAKE, /* No request was sent.  */
  HELD_STAGE_COUNT
} held_stage_t;

/* A client whose records pass through memory, so that a part of them can be
   sent.  */
typedef struct
{
  int fd;
  SSL *ssl;
  BIO *received; /* Owned by SSL, like TO_SEND.  */
  BIO *to_send;
} client_t;

/* A certificate and its key in PEM.  */
typedef struct
{
  buf_t certificate;
  buf_t key;
} identity_t;

static harness_t *harness;
static bool passed;

static void
setup (void)
{
  signal (SIGPIPE, SIG_IGN);
  passed = false;
  harness = harness_create ();
}

static void
teardown (void)
{
  harness_destroy (harness, !passed);
  harness = NULL;
}

/* Append the contents of the memory BIO to OUT and release BIO.  */
static void
append_bio (BIO *bio, buf_t *out)
{
  char *text;
  long len = BIO_get_mem_data (bio, &text);

  buf_append (out, text, (size_t)len);
  BIO_free (bio);
}

/* Return a new key with a self-signed certificate for NAME.  */
static identity_t
make_identity (const char *name)
{
  identity_t identity = { BUF_NULL, BUF_NULL };
  EVP_PKEY *key = EVP_RSA_gen (KEY_BITS);
  X509 *cert = X509_new ();
  BIO *cert_bio = BIO_new (BIO_s_mem ());
  BIO *key_bio = BIO_new (BIO_s_mem ());

  ASN1_INTEGER_set (X509_get_serialNumber (cert), 1);
  X509_gmtime_adj (X509_getm_notBefore (cert), 0);
  X509_gmtime_adj (X509_getm_notAfter (cert), DAY_S);
  X509_set_pubkey (cert, key);
  X509_NAME *subject = X509_get_subject_name (cert);
  X509_NAME_add_entry_by_txt (subject, "CN", MBSTRING_ASC,
                              (const unsigned char *)name, -1, -1, 0);
  X509_set_issuer_name (cert, subject);
  X509_sign (cert, key, EVP_sha256 ());
  PEM_write_bio_X509 (cert_bio, cert);
  PEM_write_bio_PrivateKey (key_bio, key, NULL, NULL, 0, NULL, NULL);
  append_bio (key_bio, &identity.key);
  append_bio (cert_bio, &identity.certificate);
  X509_free (cert);
  EVP_PKEY_free (key);
  return identity;
}

static void
free_identity (identity_t *identity)
{
  buf_free (&identity->certificate);
  buf_free (&identity->key);
}

static const char *
install_certificate (const identity_t *identity)
{
  return harness_write_file (harness, "cert.pem",
                             buf_str (&identity->certificate));
}

static const char *
install_key (const identity_t *identity)
{
  return harness_write_file (harness, "key.pem", buf_str (&identity->key));
}

/* Connect to PORT, request the list of models and write the common name of the
   server's certificate to NAME.  Return the number of bytes of the response
   that were read, or 0 when there was none.  */
static int
request_models (uint16_t port, char *name, size_t size)
{
  char address[64];
  char response[512];
  SSL_CTX *ctx = SSL_CTX_new (TLS_client_method ());
  BIO *bio = BIO_new_ssl_connect (ctx);
  SSL *ssl = NULL;
  int read_len = 0;

  snprintf (address, sizeof address, "%s:%u", harness_host (harness), port);
  name[0] = '\0';
  BIO_get_ssl (bio, &ssl);
  BIO_set_conn_hostname (bio, address);
  if (BIO_do_connect (bio) == 1 && BIO_do_handshake (bio) == 1)
    {
      X509 *cert = SSL_get1_peer_certificate (ssl);
      X509_NAME_get_text_by_NID (X509_get_subject_name (cert), NID_commonName,
                                 name, (int)size);
      X509_free (cert);
      BIO_puts (bio, REQUEST_TEXT);
      read_len = BIO_read (bio, response, sizeof response);
    }
  BIO_free_all (bio);
  SSL_CTX_free (ctx);
  return read_len > 0 ? read_len : 0;
}

/* Start the process NAME, which serves TLS with the files CERTIFICATE and KEY,
   and wait until it answers at *PORT.  */
static proc_t *
start_daemon (const char *name, const char *certificate, const char *key,
              uint16_t *port)
{
  uint16_t admin = harness_find_free_port (harness);
  const char *host = harness_host (harness);
  char common_name[64];
  buf_t text = BUF_NULL;

  *port = harness_find_free_port (harness);
  buf_printf (&text,
              "[process]\nname = %s\nrole = standalone\n"
              "availability-zone = a\nadmin = %s:%u\n[entry]\n"
              "listen = %s:%u\ntls-certificate = %s\ntls-key = %s\n"
              "[upstream r]\nupstream = %s:1\nserves = m@1\n",
              name, host, admin, host, *port, certificate, key, host);
  const char *settings = harness_write_file (harness, name, buf_str (&text));
  buf_free (&text);
  proc_t *daemon = harness_start (harness, name, "bin/vanillahookd",
                                  "--settings", settings, NULL);
  WAIT_FOR (request_models (*port, common_name, sizeof common_name) > 0,
            WAIT_MS);
  return daemon;
}

/* Request the list of models at PORT until the server's certificate is for
   NAME.  Every request must be answered.  */
static void
wait_for_certificate (uint16_t port, const char *name)
{
  uint64_t end_ms = harness_now_ms () + WAIT_MS;
  char current[64] = "";

  while (strcmp (current, name) != 0 && harness_now_ms () < end_ms)
    {
      ck_assert_int_gt (request_models (port, current, sizeof current), 0);
      harness_sleep_ms (STEP_MS);
    }
  ck_assert_str_eq (current, name);
}

/* Send up to MAX bytes of the records of CLIENT.  */
static void
client_send (client_t *client, size_t max)
{
  char bytes[RECORD_BYTES_MAX];
  int len = BIO_read (client->to_send, bytes,
                      max < sizeof bytes ? (int)max : (int)sizeof bytes);

  ck_assert_int_eq (send (client->fd, bytes, (size_t)len, MSG_NOSIGNAL), len);
}

/* Send what is left of the records and take the server's next ones.  */
static void
client_exchange (client_t *client)
{
  char bytes[RECORD_BYTES_MAX];

  if (BIO_ctrl_pending (client->to_send) > 0)
    client_send (client, SIZE_MAX);
  ssize_t len = recv (client->fd, bytes, sizeof bytes, 0);
  ck_assert_msg (len > 0, "the connection was closed in the handshake");
  ck_assert_int_eq (BIO_write (client->received, bytes, (int)len), (int)len);
}

/* Connect to PORT and go as far as STAGE.  */
static client_t
client_connect (SSL_CTX *context, uint16_t port, held_stage_t stage)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (port) };
  struct timeval timeout = { WAIT_MS / 1000, 0 };
  client_t client = { .fd = socket (AF_INET, SOCK_STREAM, 0),
                      .ssl = SSL_new (context),
                      .received = BIO_new (BIO_s_mem ()),
                      .to_send = BIO_new (BIO_s_mem ()) };

  inet_pton (AF_INET, harness_host (harness), &address.sin_addr);
  setsockopt (client.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  ck_assert_int_eq (
      connect (client.fd, (struct sockaddr *)&address, sizeof address), 0);
  SSL_set_bio (client.ssl, client.received, client.to_send);
  SSL_set_connect_state (client.ssl);
  if (stage == HELD_CONNECTED)
    return client;
  SSL_do_handshake (client.ssl);
  client_send (&client, stage == HELD_IN_HELLO
                            ? BIO_ctrl_pending (client.to_send) / 2
                            : SIZE_MAX);
  if (stage <= HELD_AFTER_HELLO)
    return client;
  while (SSL_do_handshake (client.ssl) != 1)
    client_exchange (&client);
  client_send (&client, stage == HELD_IN_FINISHED
                            ? BIO_ctrl_pending (client.to_send) / 2
                            : SIZE_MAX);
  return client;
}

/* Complete the handshake of CLIENT, request the list of models, which must be
   answered, and close the connection.  */
static void
client_finish (client_t *client)
{
  char response[512];
  int len;

  while (SSL_do_handshake (client->ssl) != 1)
    client_exchange (client);
  SSL_write (client->ssl, REQUEST_TEXT, (int)strlen (REQUEST_TEXT));
  while ((len = SSL_read (client->ssl, response, sizeof response)) <= 0)
    {
      ck_assert_int_eq (SSL_get_error (client->ssl, len), SSL_ERROR_WANT_READ);
      client_exchange (client);
    }
  ck_assert_msg (
      str_starts_with (str_make (response, (size_t)len), STR ("HTTP/1.1 ")),
      "%.*s", len, response);
  SSL_free (client->ssl);
  close (client->fd);
}

/* Operators replace a certificate that is about to expire.  New connections
   must get the new certificate without a restart of the process, and every
   request must be answered while the two files are being replaced.  */
START_TEST (renewed_certificate_is_loaded)
{
  identity_t one = make_identity ("one");
  identity_t two = make_identity ("two");
  const char *key = install_key (&one);
  const char *certificate = install_certificate (&one);
  uint16_t port;
  proc_t *daemon = start_daemon ("standalone-1", certificate, key, &port);

  wait_for_certificate (port, "one");
  install_key (&two);
  install_certificate (&two);
  wait_for_certificate (port, "two");
  ck_assert (proc_is_running (daemon));
  free_identity (&one);
  free_identity (&two);
  passed = true;
}
END_TEST

/* A process all of whose held connections are at one stage: those of a later
   stage would keep the context that the others use.  */
typedef struct
{
  proc_t *daemon;
  uint16_t port;
  client_t once_renewed[HELD_COUNT];
  client_t often_renewed[HELD_COUNT];
} held_daemon_t;

static void
hold_connections (held_daemon_t *held, SSL_CTX *context, held_stage_t stage)
{
  for (int i = 0; i < HELD_COUNT; i++)
    {
      held->once_renewed[i] = client_connect (context, held->port, stage);
      held->often_renewed[i] = client_connect (context, held->port, stage);
    }
}

static void
wait_for_certificates (const held_daemon_t *held, const char *name)
{
  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    wait_for_certificate (held[stage].port, name);
}

static void
finish_clients (client_t *clients)
{
  for (int i = 0; i < HELD_COUNT; i++)
    client_finish (&clients[i]);
}

/* Guards against a renewal that frees the TLS context of connections whose
   handshake has not begun.  */
START_TEST (connections_outlive_renewals)
{
  SSL_CTX *context = SSL_CTX_new (TLS_client_method ());
  held_daemon_t held[HELD_STAGE_COUNT];
  identity_t one = make_identity ("one");
  identity_t two = make_identity ("two");
  identity_t three = make_identity ("three");
  const char *key = install_key (&one);
  const char *certificate = install_certificate (&one);
  char name[32];

  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    {
      snprintf (name, sizeof name, "standalone-%d", stage + 1);
      held[stage].daemon
          = start_daemon (name, certificate, key, &held[stage].port);
    }
  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    hold_connections (&held[stage], context, (held_stage_t)stage);
  install_key (&two);
  install_certificate (&two);
  wait_for_certificates (held, "two");
  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    finish_clients (held[stage].once_renewed);
  /* The certificate does not match the key until that is replaced, too.  */
  install_certificate (&three);
  harness_sleep_ms (CHECK_WAIT_MS);
  wait_for_certificates (held, "two");
  install_key (&three);
  wait_for_certificates (held, "three");
  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    {
      finish_clients (held[stage].often_renewed);
      proc_signal (held[stage].daemon, SIGTERM);
    }
  for (int stage = 0; stage < HELD_STAGE_COUNT; stage++)
    ck_assert_int_eq (proc_wait (held[stage].daemon, WAIT_MS), 0);
  free_identity (&one);
  free_identity (&two);
  free_identity (&three);
  SSL_CTX_free (context);
  passed = true;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("tls");
  TCase *tcase = tcase_create ("tls");

  tcase_set_timeout (tcase, 60);
  tcase_add_checked_fixture (tcase, setup, teardown);
  tcase_add_test (tcase, renewed_certificate_is_loaded);
  tcase_add_test (tcase, connections_outlive_renewals);
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
