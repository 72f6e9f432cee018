// Tests of upstreams in trouble whose responses are given as bytes: malformed headers, misplaced fields and
// bodies without length.

#include "packages/caller/tests/proxy_fixture.h"
#include "tests/support/byte_server.h"

#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

using namespace quetzalspan;
using namespace quetzalspan::testing;
using namespace std::string_literals;
namespace asio = boost::asio;

namespace
{

const std::string ok_line = "HTTP/1.1 200 OK\r\n";
const std::string identity = "X-Signature: s\r\nQuetzal-Request-Id: own\r\n";
const std::string framed_body = "Content-Length: 4\r\n\r\nbody";

struct malformed_response {
    const char* name;
    std::string text;
};

std::string with_field(const std::string& line)
{
    return ok_line + identity + line + "\r\n" + framed_body;
}

std::string with_status_line(const std::string& line)
{
    return line + "\r\n" + identity + framed_body;
}

const std::vector<malformed_response>& malformed_responses()
{
    static const std::vector<malformed_response> table{
        {"status 000", with_status_line("HTTP/1.1 000 OK")},
        {"status 000 without length", "HTTP/1.1 000 OK\r\n" + identity + "\r\nbody"},
        {"status 000 before a response", "HTTP/1.1 000 OK\r\n\r\n" + with_status_line("HTTP/1.1 200 OK")},
        {"status 099", with_status_line("HTTP/1.1 099 OK")},
        {"status of two digits", with_status_line("HTTP/1.1 20 OK")},
        {"status of four digits", with_status_line("HTTP/1.1 2000 OK")},
        {"no status", with_status_line("HTTP/1.1 OK")},
        {"unknown version", with_status_line("HTTP/2.0 200 OK")},
        {"control byte in the reason", with_status_line("HTTP/1.1 200 O\x01K")},
        {"blank in a name", with_field("Bad Name: x")},
        {"blank before the colon", with_field("Name : x")},
        {"blank before the colon of a length", ok_line + identity + "Content-Length : 4\r\n\r\nbody"},
        {"tab in a name", with_field("Na\tme: x")},
        {"control byte in a name", with_field("Na\x01me: x")},
        {"zero byte in a name", with_field("Na\0me: x"s)},
        {"delete in a name", with_field("Na\x7fme: x")},
        {"byte above 0x7f in a name", with_field("Na\xe9me: x")},
        {"empty name", with_field(": x")},
        {"no colon", with_field("Name")},
        {"folded line", with_field("Name: x\r\n y")},
        {"first line that begins with a blank", ok_line + " Name: x\r\n" + identity + framed_body},
        {"control byte in a value", with_field("Name: \x01")},
        {"zero byte in a value", with_field("Name: a\0b"s)},
        {"carriage return in a value", with_field("Name: a\rb")},
        {"line feed in a value", with_field("Name: a\nOther: b")},
    };
    return table;
}

} // namespace

TEST_GROUP(malformed_response)
{
    proxy_fixture proxy;
    std::unique_ptr<tests::byte_server> upstream;

    void setup() override
    {
        proxy.require_signature();
        proxy.options.response_buffer_bytes = 4096;
        proxy.start();
    }

    void teardown() override
    {
        upstream.reset();
    }

    // Sends a request that may run only once, to which the upstream responds with the text and then closes
    // the connection. Returns the response that the caller gets.
    std::string exchange(const std::string& text)
    {
        upstream = std::make_unique<tests::byte_server>([text](asio::ip::tcp::socket& socket) {
            boost::system::error_code ignored;
            asio::write(socket, asio::buffer(text), ignored);
        });
        proxy.upstream_port = upstream->port();
        return proxy.exchange(make_request("POST", "/orders", "deposit", "Quetzal-Request-Id: own\r\n"));
    }
};

// Guards against relaying a response whose header is not valid HTTP: the caller would get a status that does
// not exist, a line that another program reads as another field, or another body than the upstream's.
TEST(malformed_response, a_malformed_header_is_not_relayed)
{
    LONGS_EQUAL(200, parse_status(exchange(with_field("Name: x"))));
    for (const malformed_response& sent : malformed_responses()) {
        const std::string response = exchange(sent.text);
        LONGS_EQUAL_TEXT(502, parse_status(response), sent.name);
        CHECK_TEXT(contains(response, "Quetzal-Reason: malformed-response"), sent.name);
        CHECK_FALSE_TEXT(contains(response, "X-Signature"), sent.name);
    }
}

// Guards against relaying the fields after the last chunk as header fields: the caller would get a signature,
// a content coding or a cookie that the checked header does not have.
TEST(malformed_response, trailer_fields_do_not_become_header_fields)
{
    const std::string trailer = "X-Signature: other\r\nContent-Encoding: gzip\r\nSet-Cookie: a=b\r\n";
    const std::string response = exchange(ok_line + identity + "Transfer-Encoding: chunked\r\n\r\n" +
                                          "4\r\nbody\r\n0\r\n" + trailer + "\r\n");
    LONGS_EQUAL(200, parse_status(response));
    CHECK(response.ends_with("\r\n\r\nbody"));
    CHECK(contains(response, "X-Signature: s\r\n"));
    CHECK_FALSE(contains(response, "X-Signature: other"));
    CHECK_FALSE(contains(response, "Content-Encoding"));
    CHECK_FALSE(contains(response, "Set-Cookie"));
}

// Guards against relaying a response that names a second request: it may belong to that one.
TEST(malformed_response, a_response_with_two_request_identifiers_is_not_relayed)
{
    for (const char* status_line : {"HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Failed\r\n"}) {
        const std::string response =
            exchange(status_line + identity + "Quetzal-Request-Id: other\r\n" + framed_body);
        LONGS_EQUAL_TEXT(502, parse_status(response), status_line);
        CHECK_TEXT(contains(response, "Quetzal-Reason: response-unverified"), status_line);
    }
}
