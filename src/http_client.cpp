#include "http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <deque>

namespace bulrushway {
namespace {

// Longest answer body in bytes; a longer one fails the request.
constexpr ev_ssize_t kMaxAnswerBody = 16 << 20;

evhttp_cmd_type CommandOf(const std::string& method) {
  if (method == "POST") return EVHTTP_REQ_POST;
  if (method == "PUT") return EVHTTP_REQ_PUT;
  if (method == "DELETE") return EVHTTP_REQ_DELETE;
  if (method == "HEAD") return EVHTTP_REQ_HEAD;
  return EVHTTP_REQ_GET;
}

http_answer ReadAnswer(evhttp_request* raw) {
  http_answer answer;
  answer.status = evhttp_request_get_response_code(raw);
  const evkeyvalq* headers = evhttp_request_get_input_headers(raw);
  for (const evkeyval* pair = headers->tqh_first; pair != nullptr; pair = pair->next.tqe_next) {
    answer.headers.emplace_back(pair->key, pair->value);
  }
  evbuffer* body = evhttp_request_get_input_buffer(raw);
  answer.body.resize(evbuffer_get_length(body));
  evbuffer_copyout(body, answer.body.data(), answer.body.size());
  return answer;
}

// An answer without a stated length ends when the connection does, so a truncated one could not be
// told from a whole one.
bool HasStatedLength(const http_answer& answer) {
  if (answer.status == 204 || answer.status == 304) return true;
  if (!FindHeader(answer.headers, "Content-Length").empty()) return true;
  return !FindHeader(answer.headers, "Transfer-Encoding").empty();
}

}  // namespace

struct http_client::pending {
  request_id id;
  http_request request;
  callback done;
  instant deadline;
};

struct http_client::connection {
  http_client* client;
  socket_address address;
  evhttp_connection* raw = nullptr;
  std::unique_ptr<pending> current;
  std::unique_ptr<timer> timeout;
  bool reached = false;

  ~connection() {
    if (raw != nullptr) evhttp_connection_free(raw);
  }
};

struct http_client::pool {
  std::vector<std::unique_ptr<connection>> open;
  std::deque<std::unique_ptr<pending>> waiting;
};

http_client::http_client(event_loop& loop, size_t max_connections)
    : loop_(loop), max_connections_(max_connections), sweep_(loop, [this](instant) { Sweep(); }) {}

http_client::~http_client() = default;

http_client::request_id http_client::Send(const socket_address& address, http_request request,
                                          std::chrono::milliseconds timeout, callback done) {
  const request_id id = next_id_++;
  const instant deadline = boot_clock::now() + timeout;
  auto& connections = pools_[address];
  if (!connections) connections = std::make_unique<pool>();
  connections->waiting.push_back(
      std::make_unique<pending>(pending{id, std::move(request), std::move(done), deadline}));
  Dispatch(address);
  return id;
}

void http_client::Cancel(request_id id) {
  for (auto& [address, connections] : pools_) {
    auto& waiting = connections->waiting;
    for (auto it = waiting.begin(); it != waiting.end(); ++it) {
      if ((*it)->id != id) continue;
      waiting.erase(it);
      return;
    }
    for (auto& link : connections->open) {
      if (!link->current || link->current->id != id) continue;
      link->current->done = nullptr;
      Finish(*link, false, tl::unexpected<http_failure>(http_failure{}));
      return;
    }
  }
}

size_t http_client::Connections(const socket_address& address) const {
  const auto found = pools_.find(address);
  return found == pools_.end() ? 0 : found->second->open.size();
}

http_client::connection* http_client::IdleConnection(pool& connections,
                                                     const socket_address& address) {
  for (auto it = connections.open.rbegin(); it != connections.open.rend(); ++it) {
    if (!(*it)->current) return it->get();
  }
  if (connections.open.size() >= max_connections_) return nullptr;
  auto link = std::make_unique<connection>();
  link->client = this;
  link->address = address;
  link->raw = evhttp_connection_base_bufferevent_new(loop_.Base(), nullptr, nullptr,
                                                     address.ip.c_str(), address.port);
  evhttp_connection_set_retries(link->raw, 0);
  evhttp_connection_set_max_body_size(link->raw, kMaxAnswerBody);
  connection* self = link.get();
  link->timeout = std::make_unique<timer>(loop_, [self](instant) {
    self->client->Finish(
        *self, false,
        tl::unexpected<http_failure>(http_failure{
            true, true, "No answer came from " + ToString(self->address) + " in time."}));
  });
  ++opened_;
  connections.open.push_back(std::move(link));
  return self;
}

void http_client::Dispatch(const socket_address& address) {
  pool& connections = *pools_[address];
  while (!connections.waiting.empty()) {
    connection* link = IdleConnection(connections, address);
    if (link == nullptr) return;
    auto request = std::move(connections.waiting.front());
    connections.waiting.pop_front();
    Start(*link, std::move(request));
  }
}

void http_client::Start(connection& link, std::unique_ptr<pending> request) {
  link.current = std::move(request);
  link.reached = false;
  const auto answered = [](evhttp_request* raw, void* argument) {
    auto* self = static_cast<connection*>(argument);
    if (!self->current) return;
    const int status = raw == nullptr ? 0 : evhttp_request_get_response_code(raw);
    if (status == 0) {
      // Without an error callback before it, no connection was made.
      self->client->Finish(
          *self, false,
          tl::unexpected<http_failure>(http_failure{
              self->reached, false,
              "The connection to " + ToString(self->address) + " failed before an answer."}));
      return;
    }
    http_answer answer = ReadAnswer(raw);
    if (!HasStatedLength(answer)) {
      self->client->Finish(*self, false,
                           tl::unexpected<http_failure>(http_failure{
                               true, false,
                               "The answer of " + ToString(self->address) +
                                   " states no length, so that it may be truncated."}));
      return;
    }
    const bool close = FindHeader(answer.headers, "Connection") == "close";
    self->client->Finish(*self, !close, std::move(answer));
  };
  const auto failed = [](evhttp_request_error, void* argument) {
    static_cast<connection*>(argument)->reached = true;
  };
  evhttp_request* raw = evhttp_request_new(answered, &link);
  evhttp_request_set_error_cb(raw, failed);
  evkeyvalq* headers = evhttp_request_get_output_headers(raw);
  const http_request& wanted = link.current->request;
  evhttp_add_header(headers, "Host", link.address.ip.c_str());
  for (const auto& [key, value] : wanted.headers) {
    evhttp_add_header(headers, key.c_str(), value.c_str());
  }
  if (!wanted.body.empty()) {
    evbuffer_add(evhttp_request_get_output_buffer(raw), wanted.body.data(), wanted.body.size());
  }
  link.timeout->Once(std::max<std::chrono::nanoseconds>(link.current->deadline - boot_clock::now(),
                                                        std::chrono::milliseconds{1}));
  if (evhttp_make_request(link.raw, raw, CommandOf(wanted.method), wanted.target.c_str()) == 0) {
    return;
  }
  Finish(link, false,
         tl::unexpected<http_failure>(http_failure{
             false, false, "No connection to " + ToString(link.address) + " could be started."}));
}

void http_client::Finish(connection& link, bool reusable,
                         tl::expected<http_answer, http_failure> outcome) {
  link.timeout->Cancel();
  const socket_address address = link.address;
  auto finished = std::move(link.current);
  if (!reusable) {
    // The connection may be in the middle of its own callback, so it is freed on the next turn.
    auto& open = pools_[address]->open;
    for (auto it = open.begin(); it != open.end(); ++it) {
      if (it->get() != &link) continue;
      closed_.push_back(std::move(*it));
      open.erase(it);
      break;
    }
    sweep_.Once(std::chrono::nanoseconds{0});
  }
  if (finished->done) finished->done(std::move(outcome));
  // A reused connection takes its next request on the next turn as well, once evhttp is done with
  // the previous one.
  if (!pools_[address]->waiting.empty()) sweep_.Once(std::chrono::nanoseconds{0});
}

void http_client::Sweep() {
  closed_.clear();
  for (auto& [address, connections] : pools_) {
    if (!connections->waiting.empty()) Dispatch(address);
  }
}

}  // namespace bulrushway
