#include "platform.hpp"

#include <absl/strings/escaping.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "laburnumledge/core/hash.hpp"

namespace laburnumledge::standin {

namespace {

using nlohmann::json;

std::uint64_t Number(const http::Request& request, std::string_view name, std::uint64_t fallback) {
  const auto text = http::Find(request.query_, name);
  std::uint64_t number = fallback;
  if (text.has_value()) {
    std::from_chars(text->data(), text->data() + text->size(), number);
  }
  return number;
}

}  // namespace

void Platform::ListInstances(const config::Configuration& configuration) {
  for (const config::Instance& instance : configuration.inventory_.instances_) {
    const auto& zones = configuration.inventory_.zones_;
    const auto zone = std::find_if(zones.begin(), zones.end(), [&](const config::Zone& candidate) {
      return candidate.name_ == instance.zone_;
    });
    vms_[instance.name_] = {.kind_ = "instance",
                            .region_ = zone == zones.end() ? "" : zone->region_,
                            .zone_ = instance.zone_,
                            .address_ = config::ToString(instance.address_)};
  }
}

void Platform::Handle(const http::Request& request, const http::Respond& respond) {
  if (request.path_.starts_with("/v1/streams/")) {
    HandleStream(request, respond);
  } else if (request.path_ == "/v1/vms" && request.method_ == "GET") {
    ListVms(request, respond);
  } else if (request.path_ == "/v1/vms") {
    ChangeVm(request, respond);
  } else if (request.path_ == "/faults") {
    SetFaults(request, respond);
  } else if (request.path_ == "/audit") {
    respond(
        http::JsonReply(200, audit_(std::string(http::Find(request.query_, "job").value_or("")))));
  } else if (request.path_ == "/appends") {
    respond(http::JsonReply(200, json{{"appends", appends_}}.dump()));
  } else {
    respond(http::JsonReply(404, "{}"));
  }
}

void Platform::HandleStream(const http::Request& request, const http::Respond& respond) {
  const std::string rest = request.path_.substr(std::string("/v1/streams/").size());
  Stream& stream = streams_[rest.substr(0, rest.find('/'))];
  if (faults_.down_) {
    respond(http::JsonReply(503, "{\"error\":\"log is down\"}"));
  } else if (request.method_ == "POST") {
    Append(stream, request, respond);
  } else {
    Read(stream, request, respond);
  }
}

void Platform::Append(Stream& stream, const http::Request& request, const http::Respond& respond) {
  ++appends_;
  const std::uint64_t offset = stream.first_ + stream.records_.size();
  stream.records_.push_back(request.body_);
  while (stream.records_.size() > retained_) {
    stream.records_.pop_front();
    ++stream.first_;
  }
  if (faults_.lose_answers_ > 0) {
    --faults_.lose_answers_;
    unanswered_.push_back(respond);
    return;
  }
  Answer(respond, http::JsonReply(200, json{{"offset", offset}}.dump()));
}

void Platform::Read(const Stream& stream, const http::Request& request,
                    const http::Respond& respond) {
  const std::uint64_t next = stream.first_ + stream.records_.size();
  const std::uint64_t limit = Number(request, "limit", 1000);
  std::uint64_t offset = std::max(stream.first_, Number(request, "from", 0));
  json records = json::array();
  for (; offset < next && records.size() < limit; ++offset) {
    records.push_back({{"offset", offset},
                       {"data", absl::Base64Escape(stream.records_[offset - stream.first_])}});
  }
  const json body = {{"first", stream.first_}, {"next", next}, {"records", std::move(records)}};
  Answer(respond, http::JsonReply(200, body.dump()));
}

void Platform::Answer(const http::Respond& respond, http::Reply reply) {
  if (faults_.slow_.count() == 0) {
    respond(std::move(reply));
    return;
  }
  loop_.CallAt(loop_.Now() + faults_.slow_,
               [respond, reply = std::move(reply)] { respond(reply); });
}

void Platform::SetFaults(const http::Request& request, const http::Respond& respond) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object()) {
    respond(http::JsonReply(400, "{}"));
    return;
  }
  faults_.down_ = body.value("down", faults_.down_);
  faults_.slow_ = core::Milliseconds(body.value("slow_ms", faults_.slow_.count()));
  faults_.lose_answers_ = body.value("lose_answers", faults_.lose_answers_);
  retained_ = body.value("retained", retained_);
  respond(http::JsonReply(200, "{}"));
}

void Platform::ChangeVm(const http::Request& request, const http::Respond& respond) {
  const json body = json::parse(request.body_, nullptr, false);
  if (!body.is_object() || !body.contains("name")) {
    respond(http::JsonReply(400, "{}"));
    return;
  }
  const std::string name = body["name"].get<std::string>();
  if (request.method_ == "DELETE") {
    vms_.erase(name);
  } else {
    ListedVm& vm = vms_[name];
    vm.kind_ = body.value("kind", vm.kind_);
    vm.region_ = body.value("region", vm.region_);
    vm.zone_ = body.value("zone", vm.zone_);
    vm.address_ = body.value("address", vm.address_);
    vm.state_ = body.value("state", vm.state_);
  }
  respond(http::JsonReply(200, "{}"));
}

void Platform::ListVms(const http::Request& request, const http::Respond& respond) const {
  std::string text = VmText();
  const std::string tag = "\"" + std::to_string(core::Hash(text)) + "\"";
  const bool known = http::Find(request.headers_, "If-None-Match") == tag;
  http::Reply reply = http::JsonReply(known ? 304 : 200, known ? "" : std::move(text));
  reply.headers_.push_back({"ETag", tag});
  respond(std::move(reply));
}

std::string Platform::VmText() const {
  json list = json::array();
  for (const auto& [name, vm] : vms_) {
    list.push_back({{"name", name},
                    {"kind", vm.kind_},
                    {"region", vm.region_},
                    {"zone", vm.zone_},
                    {"address", vm.address_},
                    {"state", vm.state_}});
  }
  return json{{"vms", std::move(list)}}.dump();
}

}  // namespace laburnumledge::standin
