#include "guide/fleet.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace lemonroute::guide {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t told_at_most = 8;
// Notes that are not urgent are read so often, and the text is renewed so often; a large fleet's costs more
// to make.
constexpr milliseconds look_again{100}, text_per_member{1};

std::vector<peers::Extension*> extensions_of(const std::vector<Binding>& bindings) {
  std::vector<peers::Extension*> extensions;
  extensions.reserve(bindings.size());
  for (const auto& binding : bindings)
    extensions.push_back(binding.extension.get());
  return extensions;
}

}  // namespace

Fleet::Fleet(net::Loop& loop, const Clock& clock, Options options, std::vector<Binding> bindings,
             Guided guided)
    : guided_(std::move(guided)),
      bindings_(std::move(bindings)),
      notes_([this] { service_->wake(); }),
      told_(told_at_most),
      take_(loop, [this] { take(); }),
      siblings_(options.siblings),
      service_(std::make_unique<peers::Service>(std::move(options.service), clock, extensions_of(bindings_),
                                                static_cast<peers::Service::Desk&>(*this))) {
  for (const auto& binding : bindings_)
    if (binding.observer)
      observers_.push_back(binding.observer.get());
  service_->start();
}

Fleet::~Fleet() {
  service_.reset();
}

std::shared_ptr<const std::string> Fleet::text() const {
  if (!service_->failed())
    return text_;
  return std::make_shared<const std::string>("{\"failed\":true}\n");
}

void Fleet::woken(Micros) {
  notes_.read(observers_);
}

void Fleet::round(Micros now, const peers::Service& service) {
  notes_.read(observers_);
  const bool guide = renew_guide(now, service), text = renew_text(now, service);
  if (guide || text || waiting_) {
    waiting_ = !told_.push(newest_);
    take_.ring();
  }
  std::erase_if(given_, [](const auto& one) { return one.use_count() == 1; });
  next_ = std::min(next_text_, now + look_again);
  if (next_guide_ > now)
    next_ = std::min(next_, next_guide_);
}

bool Fleet::renew_guide(Micros now, const peers::Service& service) {
  const auto count = siblings_.see(now, service.view());
  FleetGuide::Parts parts;
  for (const auto& binding : bindings_)
    if (auto part = binding.guide ? binding.guide() : nullptr)
      parts.push_back(std::move(part));
  if (newest_.guide && count == count_ && parts == parts_)
    return false;
  // A change that comes early waits; next_due sees to it.
  if (now < next_guide_)
    return false;
  next_guide_ = now + least_between;
  count_ = count;
  parts_ = parts;
  newest_.guide = std::make_shared<const FleetGuide>(count, std::move(parts));
  given_.push_back(newest_.guide);
  return true;
}

bool Fleet::renew_text(Micros now, const peers::Service& service) {
  if (newest_.text && now < next_text_)
    return false;
  next_text_ = now + std::max<Micros>(look_again, text_per_member * service.view().members.size());
  auto all = service.describe(now);
  all["siblings"] = count_;
  all["notes_dropped"] = notes_.dropped();
  newest_.text = std::make_shared<const std::string>(
      all.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
  given_.push_back(newest_.text);
  return true;
}

void Fleet::take() {
  Told told;
  bool some = false;
  while (told_.pop(told))
    some = true;
  if (!some)
    return;
  text_ = told.text;
  if (!told.guide || told.guide == guide_)
    return;
  guide_ = told.guide;
  guided_(guide_);
}

}  // namespace lemonroute::guide
