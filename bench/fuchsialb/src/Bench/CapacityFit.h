#pragma once

#include <vector>

namespace fuchsialb::bench {

/// \brief One measured size and its cost.
struct CapacityPoint {
    double x = 0;
    double y = 0;
};

/// \brief A least-squares line through measured points.
struct CapacityLine {
    double slope = 0;
    double intercept = 0;
    /// Root mean square of the distances of the points from the line, in the unit of y.
    double residual = 0;

    double at(double x) const { return intercept + slope * x; }
};

/// \param points At least two with different x; with fewer, the line is the mean of y.
CapacityLine fitLine(const std::vector<CapacityPoint>& points);

} // namespace fuchsialb::bench
