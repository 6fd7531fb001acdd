#include "net/memory_budget.h"

namespace lemonroute::net {

MemoryBudget::Account::Account(MemoryBudget& budget, Evict evict)
    : budget_(budget.shared_from_this()), evict_(std::move(evict)) {}

MemoryBudget::Account::~Account() {
  budget_->remove_candidate(*this);
  budget_->held_ -= held_;
}

void MemoryBudget::Account::hold(std::size_t bytes) {
  budget_->remove_candidate(*this);
  budget_->held_ -= held_;
  budget_->held_ += bytes;
  held_ = bytes;
  budget_->add_candidate(*this);
  budget_->evict_while_over_limit();
}

void MemoryBudget::Account::set_evictable(bool evictable) {
  budget_->remove_candidate(*this);
  evictable_ = evictable && evict_;
  budget_->add_candidate(*this);
}

void MemoryBudget::set_limit(std::size_t bytes) {
  limit_ = bytes;
  evict_while_over_limit();
}

void MemoryBudget::add_candidate(Account& account) {
  if (account.evictable_ && account.held_ > 0)
    candidates_.emplace(account.held_, &account);
}

void MemoryBudget::remove_candidate(Account& account) {
  candidates_.erase({account.held_, &account});
}

// An eviction changes accounts, which must not start another one inside it.
void MemoryBudget::evict_while_over_limit() {
  if (std::exchange(evicting_, true))
    return;
  while (held_ > limit_ && !candidates_.empty()) {
    Account& largest = *candidates_.rbegin()->second;
    largest.set_evictable(false);
    largest.evict_();
  }
  evicting_ = false;
}

namespace {

struct BudgetedText {
  BudgetedText(MemoryBudget& budget, std::string content) : account(budget), text(std::move(content)) {
    account.hold(text.capacity());
  }
  MemoryBudget::Account account;
  const std::string text;
};

}  // namespace

std::shared_ptr<const std::string> budgeted_text(MemoryBudget& budget, std::string text) {
  const auto held = std::make_shared<BudgetedText>(budget, std::move(text));
  return {held, &held->text};
}

}  // namespace lemonroute::net
