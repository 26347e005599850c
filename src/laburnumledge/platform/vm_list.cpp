#include "laburnumledge/platform/vm_list.hpp"

#include <fmt/core.h>

#include <nlohmann/json.hpp>

#include "laburnumledge/core/reason.hpp"

namespace laburnumledge::platform {

namespace {

constexpr unsigned kOk = 200;

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
    return core::Fail("the VM list is no JSON object");
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

void ReadVmList(http::Client& client, const config::Address& platform, core::TimePoint deadline,
                std::function<void(std::optional<VmList>)> done) {
  http::Call call;
  call.url_ = fmt::format("http://{}/v1/vms", config::ToString(platform));
  call.deadline_ = deadline;
  client.Send(std::move(call), [done = std::move(done)](const http::Response& response) {
    if (response.status_ != kOk) {
      done(core::Fail("the VM list can't be read: status {}, {}", response.status_,
                      response.reason_));
      return;
    }
    done(ParseVmList(response.body_));
  });
}

}  // namespace laburnumledge::platform
