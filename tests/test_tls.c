/* Tests of TLS at the entry, with a real vanillahookd process and an OpenSSL
   client.  */

#include "harness.h"
#include "suite.h"

#include <check.h>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  WAIT_MS = 15000,
  STEP_MS = 50,
  KEY_BITS = 2048,
  DAY_S = 86400
};

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

/* Write the contents of the memory BIO to the file NAME, release BIO and
   return the path of the file.  */
static const char *
write_bio (const char *name, BIO *bio)
{
  char *text;
  long len = BIO_get_mem_data (bio, &text);
  const char *path
      = harness_write_file (harness, name, str_make (text, (size_t)len));

  BIO_free (bio);
  return path;
}

/* Create a self-signed certificate for NAME in cert.pem and key.pem, and set
 *CERT_PATH and *KEY_PATH.  */
static void
make_certificate (const char *name, const char **cert_path,
                  const char **key_path)
{
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
  *key_path = write_bio ("key.pem", key_bio);
  *cert_path = write_bio ("cert.pem", cert_bio);
  X509_free (cert);
  EVP_PKEY_free (key);
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
      BIO_puts (bio, "GET /v1/models HTTP/1.1\r\nhost: x\r\n"
                     "connection: close\r\n\r\n");
      read_len = BIO_read (bio, response, sizeof response);
    }
  BIO_free_all (bio);
  SSL_CTX_free (ctx);
  return read_len > 0 ? read_len : 0;
}

/* Operators replace a certificate that is about to expire.  New connections
   must get the new certificate without a restart of the process, and every
   request must be answered while the two files are being replaced.  */
START_TEST (renewed_certificate_is_loaded)
{
  uint16_t port = harness_find_free_port (harness);
  uint16_t admin = harness_find_free_port (harness);
  const char *host = harness_host (harness);
  const char *cert, *key;
  char name[64];
  buf_t text = BUF_NULL;
  uint64_t end_ms = harness_now_ms () + WAIT_MS;

  make_certificate ("one", &cert, &key);
  buf_printf (&text,
              "[process]\nname = standalone-1\nrole = standalone\n"
              "availability-zone = a\nadmin = %s:%u\n[entry]\n"
              "listen = %s:%u\ntls-certificate = %s\ntls-key = %s\n"
              "[upstream r]\nupstream = %s:1\nserves = m@1\n",
              host, admin, host, port, cert, key, host);
  const char *settings
      = harness_write_file (harness, "standalone.ini", buf_str (&text));
  buf_free (&text);
  proc_t *daemon = harness_start (harness, "standalone", "bin/vanillahookd",
                                  "--settings", settings, NULL);
  while (request_models (port, name, sizeof name) == 0
         && harness_now_ms () < end_ms)
    harness_sleep_ms (STEP_MS);
  ck_assert_str_eq (name, "one");
  make_certificate ("two", &cert, &key);
  while (strcmp (name, "two") != 0 && harness_now_ms () < end_ms)
    {
      ck_assert_int_gt (request_models (port, name, sizeof name), 0);
      harness_sleep_ms (STEP_MS);
    }
  ck_assert_str_eq (name, "two");
  ck_assert (proc_is_running (daemon));
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
  suite_add_tcase (suite, tcase);
  return suite_run (suite);
}
