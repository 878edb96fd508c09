// Messages between processes decode to what was encoded, and anything else is rejected.
#include "peer_codec.h"

#include <boost/test/unit_test.hpp>

#include "fleet_view.h"

namespace bulrushway {
namespace {

dispatch_request SampleRequest() {
  dispatch_request request;
  request.id = 7;
  request.request_id = "r-7";
  request.service = "cronometraje";
  request.tenant = "lima";
  request.key_name = "bib 1043";
  request.idempotency_key = "finish-1043";
  request.slice = 911;
  request.time_left = std::chrono::milliseconds{250};
  request.request = {"POST", "/cronometraje/finish", {{"Content-Type", "text/plain"}}, "12:31.4"};
  return request;
}

std::string Body(const peer_message& message) {
  return EncodeFrame(message).substr(kFrameHeaderSize);
}

BOOST_AUTO_TEST_SUITE(a_message_between_processes)

BOOST_AUTO_TEST_SUITE(that_is_whole)

BOOST_AUTO_TEST_CASE(a_request_arrives_as_it_was_sent) {
  const auto message = DecodeFrame(Body(SampleRequest()), "peer");
  BOOST_REQUIRE(message.has_value());
  const auto& request = std::get<dispatch_request>(*message);
  BOOST_TEST(request.key_name == "bib 1043");
  BOOST_TEST(request.slice == 911U);
  BOOST_TEST(request.time_left.count() == 250);
  BOOST_TEST(request.request.body == "12:31.4");
  BOOST_TEST(FindHeader(request.request.headers, "content-type") == "text/plain");
}

BOOST_AUTO_TEST_CASE(a_refusal_keeps_its_reason_and_run_state) {
  dispatch_answer refusal;
  refusal.id = 7;
  refusal.reason = refusal_reason::kLeaseLapsed;
  refusal.state = run_state::kUnknown;
  const auto message = DecodeFrame(Body(refusal), "peer");
  BOOST_REQUIRE(message.has_value());
  BOOST_TEST((std::get<dispatch_answer>(*message).reason == refusal_reason::kLeaseLapsed));
  BOOST_TEST((std::get<dispatch_answer>(*message).state == run_state::kUnknown));
}

BOOST_AUTO_TEST_CASE(a_notice_of_keys_names_the_service_and_the_map) {
  const auto decoded = DecodeFrame(Body(key_map_change{"druck", 70, 77, "delta", true}), "peer");
  BOOST_REQUIRE(decoded.has_value());
  const auto* notice = std::get_if<key_map_change>(&*decoded);
  BOOST_REQUIRE(notice != nullptr);
  BOOST_TEST(notice->space == "druck");
  BOOST_TEST(notice->version == 77U);
}

BOOST_AUTO_TEST_CASE(a_member_keeps_every_field) {
  const member_record sent{"lima1-a", {"127.0.0.1", 2},  "lima-a",        "lima",
                           "s",       uint64_t{1} << 60, {"127.0.0.1", 3}};
  const auto decoded = DecodeMember(EncodeMember(sent));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == sent));
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
  body[1] = kPeerProtocolVersion + 1;
  const std::string expected_text = "version " + std::to_string(kPeerProtocolVersion + 1);
  BOOST_TEST(DecodeFrame(body, "peer").error().message.find(expected_text) != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_reason_out_of_range_is_refused) {
  dispatch_answer refusal;
  refusal.reason = static_cast<refusal_reason>(200);
  BOOST_TEST(!DecodeFrame(Body(refusal), "peer").has_value());
}

BOOST_AUTO_TEST_CASE(a_frame_that_claims_too_much_is_refused_before_it_is_read) {
  BOOST_TEST(!FrameLength(std::string_view("\xff\xff\xff\xff", 4), "peer").has_value());
  // An array header that claims four billion elements.
  BOOST_TEST(!DecodeFrame(std::string("\xdd\xff\xff\xff\xff", 5), "peer").has_value());
}

BOOST_AUTO_TEST_CASE(a_damaged_member_is_an_error) {
  member_record member;
  member.node = "lima1-a";
  member.address = {"127.0.0.1", 2};
  const std::string bytes = EncodeMember(member);
  BOOST_TEST(DecodeMember(bytes)->node == "lima1-a");
  BOOST_TEST(!DecodeMember(bytes.substr(0, bytes.size() - 1)).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace bulrushway
