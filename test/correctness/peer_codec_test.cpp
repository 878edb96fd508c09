// Messages between processes survive the wire unchanged, and nothing else is taken for a message.
#include "peer_codec.h"

#include <boost/test/unit_test.hpp>

#include "announcement.h"
#include "control_codec.h"

namespace bulrushway {
namespace {

forward_request SampleRequest() {
  forward_request request;
  request.id = 7;
  request.request_id = "r-7";
  request.service = "cronometraje";
  request.tenant = "lima";
  request.key = "bib 1043";
  request.idempotency_key = "finish-1043";
  request.slice = 911;
  request.time_left = std::chrono::milliseconds{250};
  request.request = {"POST", "/cronometraje/finish", {{"Content-Type", "text/plain"}}, "12:31.4"};
  return request;
}

std::string NameOf(uint32_t hash) {
  for (const std::string name : {"lima1-a", "cusco1-b", "x"}) {
    if (HashOfName(name) == hash) return name;
  }
  return "";
}

std::string Body(const peer_message& message) {
  return EncodeFrame(message).substr(kFrameHeaderSize);
}

BOOST_AUTO_TEST_SUITE(a_message_between_processes)

BOOST_AUTO_TEST_SUITE(that_is_whole)

BOOST_AUTO_TEST_CASE(a_request_arrives_as_it_was_sent) {
  const auto message = DecodeFrame(Body(SampleRequest()), "peer");
  BOOST_REQUIRE(message.has_value());
  const auto& request = std::get<forward_request>(*message);
  BOOST_TEST(request.key == "bib 1043");
  BOOST_TEST(request.slice == 911U);
  BOOST_TEST(request.time_left.count() == 250);
  BOOST_TEST(request.request.body == "12:31.4");
  BOOST_TEST(FindHeader(request.request.headers, "content-type") == "text/plain");
}

BOOST_AUTO_TEST_CASE(a_refusal_keeps_its_reason_and_run_state) {
  forward_answer refusal;
  refusal.id = 7;
  refusal.reason = refusal_reason::kLeaseLapsed;
  refusal.state = run_state::kUnknown;
  const auto message = DecodeFrame(Body(refusal), "peer");
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST((std::get<forward_answer>(*message).reason == refusal_reason::kLeaseLapsed));
  BOOST_TEST((std::get<forward_answer>(*message).state == run_state::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_renewal_fits_many_times_into_a_datagram) {
  const control_envelope renewal{
      "lima1-a", "cusco1-b", ownership_message{renew_request{{"lima1-a", 12}, 99, 5, true, {}}}};
  const std::string bytes = EncodeControl(renewal);
  // With 28 bytes of IP and UDP headers, three witnesses and three answers each way in 450 ms, this
  // leaves room in 2 KB a second.
  BOOST_TEST(bytes.size() < 40U);
  const auto read = DecodeControl(bytes, "peer", NameOf);
  BOOST_REQUIRE(read.has_value());
  const auto& message = std::get<ownership_message>(read->body);
  BOOST_TEST(std::get<renew_request>(message).sequence == 99U);
  BOOST_TEST(std::get<renew_request>(message).term.node == "lima1-a");
  BOOST_TEST(read->to == "cusco1-b");
  // A heartbeat of a node that is not known is no message.
  const auto nobody = [](uint32_t) { return std::string{}; };
  BOOST_TEST(!DecodeControl(bytes, "peer", nobody).has_value());
}

BOOST_AUTO_TEST_CASE(a_term_record_travels_whole) {
  term_record record;
  record.id = {"lima1-a", 3};
  record.slices = {{1, 10}, {5, 11}};
  record.heirs = {{{"cusco1-b", 2}, "cusco", {"a", "b", "c"}}};
  record.gifts = {{5, record.heirs.front()}};
  const control_envelope sent{"lima1-a", "x", ownership_message{lapse_notice{record, true}}};
  const auto read = DecodeControl(EncodeControl(sent), "peer", NameOf);
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((std::get<lapse_notice>(std::get<ownership_message>(read->body)).record == record));
}

BOOST_AUTO_TEST_CASE(an_announcement_keeps_every_field) {
  announcement sent{"lima1-a",        1,  "s",  "lima", "lima-a", "r1",  {"127.0.0.1", 2},
                    {"127.0.0.1", 3}, 4,  5,    6,      7,        {"w"}, 8,
                    {9, 10},          11, true, true,   true};
  const auto heard = DecodeAnnouncement(Encode(sent));
  BOOST_REQUIRE(heard.has_value());
  BOOST_TEST((*heard == sent));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(that_is_not_whole)

BOOST_AUTO_TEST_CASE(every_truncation_is_refused) {
  const std::string body = Body(SampleRequest());
  for (size_t length = 0; length < body.size(); ++length) {
    BOOST_TEST(!DecodeFrame(body.substr(0, length), "peer").has_value());
  }
}

BOOST_AUTO_TEST_CASE(an_unknown_type_or_version_is_named) {
  std::string body = Body(cancel_request{1});
  body[2] = 99;
  const auto unknown = DecodeFrame(body, "10.0.0.1:7");
  BOOST_REQUIRE(!unknown.has_value());
  BOOST_TEST(unknown.error().message.find("99") != std::string::npos);
  BOOST_TEST(unknown.error().peer == "10.0.0.1:7");
  body = Body(cancel_request{1});
  body[1] = 2;
  BOOST_TEST(DecodeFrame(body, "peer").error().message.find("version 2") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_reason_out_of_range_is_refused) {
  forward_answer refusal;
  refusal.reason = static_cast<refusal_reason>(200);
  BOOST_TEST(!DecodeFrame(Body(refusal), "peer").has_value());
}

BOOST_AUTO_TEST_CASE(a_frame_that_claims_too_much_is_refused_before_it_is_read) {
  BOOST_TEST(!FrameLength(std::string_view("\xff\xff\xff\xff", 4), "peer").has_value());
  // An array header that claims four billion elements.
  BOOST_TEST(!DecodeFrame(std::string("\xdd\xff\xff\xff\xff", 5), "peer").has_value());
}

BOOST_AUTO_TEST_CASE(a_damaged_announcement_is_an_error) {
  announcement known;
  known.node = "lima1-a";
  const std::string bytes = Encode(known);
  BOOST_TEST(DecodeAnnouncement(bytes)->node == "lima1-a");
  BOOST_TEST(!DecodeAnnouncement(bytes.substr(0, bytes.size() - 1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway
