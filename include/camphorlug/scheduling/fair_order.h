#pragma once

#include <cstddef>
#include <map>
#include <string>

namespace camphorlug::scheduling {

/// Order in which requests of several classes and organisations get scarce slots: start-time fair
/// queueing in two levels, priorities by weight and, within a priority, organisations in equal
/// shares. Charges are tokens, so that an organisation gains nothing from larger requests.
///
/// Answers the load pattern in which one organisation or one urgent class sends more than the
/// targets can take: it gets what the others leave, but the others keep their shares. An idle
/// organisation saves nothing up.
class fair_order {
public:
  /// Factor between the shares of two neighbouring priorities. It keeps a share for the least
  /// urgent requests, so that they do not starve.
  static constexpr double priority_ratio = 4;
  /// The least urgent priority. Priorities outside the range count as the nearest one in it.
  static constexpr int max_priority = 9;

  /// Position of a waiting request; smaller ones come first.
  struct position {
    double class_start = 0;
    double organisation_start = 0;

    auto operator<=>(const position&) const = default;
  };

  /// The position that the next request of the organisation has now.
  position next(int priority, const std::string& organisation) const;

  /// Charges a request that has got a slot.
  void charge(int priority, const std::string& organisation, double cost);

  /// The start of the request of the priority that was served last. Organisations with no later
  /// start are equal.
  double virtual_time(int priority) const;

  static int in_range(int priority);

  /// Drops organisations that are not ahead of the others.
  void forget_idle();

  /// Number of priorities that have been charged.
  std::size_t priorities() const { return classes_.size(); }

private:
  struct priority_class {
    double finish = 0;
    double virtual_time = 0;
    std::map<std::string, double> finish_of_organisations;
  };

  std::map<int, priority_class> classes_;
  double virtual_time_ = 0;
};

} // namespace camphorlug::scheduling
