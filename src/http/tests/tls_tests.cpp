#include "http/h2oserver.h"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <cstdio>
#include <filesystem>
#include <openssl/err.h>
#include <openssl/pem.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace sardinerun;

namespace {

//! Writes a key and a self-signed certificate to files, which the destructor removes.
class SelfSigned {
public:
    SelfSigned()
    {
        EVP_PKEY* key = EVP_RSA_gen(2048);
        X509* certificate = X509_new();
        X509_gmtime_adj(X509_getm_notBefore(certificate), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate), 3600);
        X509_set_pubkey(certificate, key);
        X509_NAME* name = X509_get_subject_name(certificate);
        const auto* host = reinterpret_cast<const unsigned char*>("localhost");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, host, -1, -1, 0);
        X509_set_issuer_name(certificate, name);
        X509_sign(certificate, key, EVP_sha256());
        FILE* file = std::fopen(files.key.c_str(), "w");
        PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        file = std::fopen(files.certificate.c_str(), "w");
        PEM_write_X509(file, certificate);
        std::fclose(file);
        X509_free(certificate);
        EVP_PKEY_free(key);
    }
    ~SelfSigned()
    {
        std::filesystem::remove(files.key);
        std::filesystem::remove(files.certificate);
    }
    http::TlsFiles files { name("certificate"), name("key") };

private:
    static std::string name(const std::string& prefix)
    {
        return (std::filesystem::temp_directory_path() / (prefix + std::to_string(getpid()) + ".pem")).string();
    }
};

//! A TLS connection; `isOpen` is false if the handshake failed.
struct TlsConnection {
    TlsConnection(std::uint16_t port, int newestVersion, SSL_SESSION* session = nullptr)
        : fd(socket(AF_INET, SOCK_STREAM, 0))
        , context(SSL_CTX_new(TLS_client_method()))
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(port);
        BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
        SSL_CTX_set_max_proto_version(context, newestVersion);
        SSL_CTX_set_security_level(context, 0); // allows old versions, so that the server must reject them
        static const unsigned char protocols[] = "\x02h2\x08http/1.1";
        SSL_CTX_set_alpn_protos(context, protocols, sizeof protocols - 1);
        SSL_CTX_set_options(context, SSL_OP_NO_TICKET);
        ssl = SSL_new(context);
        if (session)
            SSL_set_session(ssl, session);
        SSL_set_fd(ssl, fd);
        isOpen = SSL_connect(ssl) == 1;
    }
    ~TlsConnection()
    {
        SSL_free(ssl);
        SSL_CTX_free(context);
        close(fd);
    }

    std::string protocol() const
    {
        const unsigned char* name = nullptr;
        unsigned int n = 0;
        SSL_get0_alpn_selected(ssl, &name, &n);
        return { reinterpret_cast<const char*>(name), n };
    }

    int fd;
    SSL_CTX* context;
    SSL* ssl = nullptr;
    bool isOpen = false;
};

struct Fixture {
    http::ServerOptions options(http::TlsFiles files)
    {
        http::ServerOptions it;
        it.listen = { "127.0.0.1", 0 };
        it.tls = std::move(files);
        return it;
    }
    http::Handler handler = [](const http::Request&, http::Responder it) { it.send({ 200, {}, "safe" }); };
    runtime::EventLoopPtr loop = runtime::EventLoop::create("test", runtime::systemClock()).value();
};

} // namespace

BOOST_FIXTURE_TEST_CASE(aServerNegotiatesHttp2AndRejectsOldTlsVersions, Fixture)
{
    const SelfSigned credentials;
    const auto server = http::createServer(loop, options(credentials.files), handler).value();
    loop->start();
    {
        TlsConnection modern(server->port(), 0);
        BOOST_REQUIRE(modern.isOpen);
        BOOST_TEST(modern.protocol() == "h2");
        TlsConnection old(server->port(), TLS1_1_VERSION);
        BOOST_TEST(!old.isOpen);
    }
    loop->stop();
}

//! Guards against sessions that the server keeps for callers without tickets, some 20,000 of them, whether or not they
//! return.
BOOST_FIXTURE_TEST_CASE(aServerKeepsNoSessions, Fixture)
{
    const SelfSigned credentials;
    const auto server = http::createServer(loop, options(credentials.files), handler).value();
    loop->start();
    {
        TlsConnection first(server->port(), TLS1_2_VERSION);
        BOOST_REQUIRE(first.isOpen);
        SSL_SESSION* session = SSL_get1_session(first.ssl);
        TlsConnection second(server->port(), TLS1_2_VERSION, session);
        SSL_SESSION_free(session);
        BOOST_REQUIRE(second.isOpen);
        BOOST_TEST(SSL_session_reused(second.ssl) == 0);
    }
    loop->stop();
}

BOOST_FIXTURE_TEST_CASE(aServerWithoutItsCertificateIsNotCreated, Fixture)
{
    const auto server = http::createServer(loop, options({ "/nowhere/certificate", "/nowhere/key" }), handler);
    BOOST_REQUIRE(!server);
    BOOST_TEST((server.error().code == http::ServerError::Code::BadTls));
}
