#include "laburnumledge/platform/vm_list.hpp"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::platform {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotModified = 304;

std::optional<Vm> ParseVm(const nlohmann::json& value) {
  Vm vm;
  value.at("name").get_to(vm.name_);
  value.at("region").get_to(vm.region_);
  value.at("zone").get_to(vm.zone_);
  vm.kind_ = value.at("kind").get<std::string>() == "node" ? VmKind::kNode : VmKind::kInstance;
  vm.leaving_ = value.at("state").get<std::string>() == "leaving";
  const std::optional<config::Address> address =
      config::ParseAddress(value.at("address").get<std::string>());
  if (!address.has_value()) {
    return std::nullopt;
  }
  vm.address_ = *address;
  return vm;
}

}  // namespace

std::optional<VmList> ParseVmList(std::string_view body) {
  const auto document = nlohmann::json::parse(body, nullptr, false);
  if (!document.is_object()) {
    return core::Fail("the VM list is not a JSON object");
  }
  try {
    VmList list;
    for (const auto& value : document.at("vms")) {
      std::optional<Vm> vm = ParseVm(value);
      if (!vm.has_value()) {
        return std::nullopt;
      }
      list.vms_.push_back(std::move(*vm));
    }
    return list;
  } catch (const nlohmann::json::exception& error) {
    return core::Fail("the VM list is malformed: {}", error.what());
  }
}

std::optional<VmListAnswer> ParseVmListResponse(const std::string& tag,
                                                const http::Response& response) {
  if (response.status_ == kNotModified && !tag.empty()) {
    return VmListAnswer{.tag_ = tag};
  }
  if (response.status_ != kOk) {
    return core::Fail("the VM list can't be read: status {}, {}", response.status_,
                      response.reason_);
  }
  std::optional<VmList> list = ParseVmList(response.body_);
  if (!list.has_value()) {
    return std::nullopt;
  }
  return VmListAnswer{.tag_ = std::string(http::Find(response.headers_, "ETag").value_or("")),
                      .list_ = std::move(list)};
}

void ReadVmList(http::Client& client, const config::Address& platform, const std::string& tag,
                core::TimePoint deadline, std::function<void(std::optional<VmListAnswer>)> done) {
  http::Call call;
  call.url_ = fmt::format("http://{}/v1/vms", config::ToString(platform));
  call.deadline_ = deadline;
  call.resendable_ = true;
  if (!tag.empty()) {
    call.headers_ = {{"If-None-Match", tag}};
  }
  client.Send(std::move(call), [tag, done = std::move(done)](const http::Response& response) {
    done(ParseVmListResponse(tag, response));
  });
}

}  // namespace laburnumledge::platform
