#include "CapacityFit.h"

#include <cmath>

namespace fuchsialb::bench {

CapacityLine fitLine(const std::vector<CapacityPoint>& points)
{
    if (points.empty())
        return {};
    const auto count = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const CapacityPoint& point : points) {
        meanX += point.x / count;
        meanY += point.y / count;
    }
    double covariance = 0;
    double variance = 0;
    for (const CapacityPoint& point : points) {
        covariance += (point.x - meanX) * (point.y - meanY);
        variance += (point.x - meanX) * (point.x - meanX);
    }
    CapacityLine line;
    line.slope = variance > 0 ? covariance / variance : 0;
    line.intercept = meanY - line.slope * meanX;
    double squares = 0;
    for (const CapacityPoint& point : points)
        squares += (point.y - line.at(point.x)) * (point.y - line.at(point.x));
    line.residual = std::sqrt(squares / count);
    return line;
}

} // namespace fuchsialb::bench
