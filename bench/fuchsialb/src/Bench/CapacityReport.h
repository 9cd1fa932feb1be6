#pragma once

#include "CapacityFit.h"

#include <map>
#include <string>
#include <vector>

namespace fuchsialb::bench {

/// \brief The costs of one quantity at several sizes.
struct CapacitySeries {
    /// Short name without spaces, for formulas.
    std::string name;
    std::string x;
    std::string y;
    /// The same on every run, unlike CPU time.
    bool repeatable = true;
    std::vector<CapacityPoint> points;
};

/// \brief A quantity at the size to design for, and what is allowed.
struct CapacityFigure {
    /// Name of the check, as KNOWN-RED.txt lists it behind "bench.capacity.".
    std::string check;
    std::string role;
    std::string quantity;
    double value = 0;
    std::string unit;
    /// 0 when nothing bounds the quantity.
    double allowance = 0;
    bool repeatable = true;
    std::string formula;
    /// What has to change when the allowance is passed.
    std::string change;

    bool over() const { return allowance > 0 && value > allowance; }
};

/// \brief Collects measured series, their lines and the figures worked out from them.
class CapacityReport {
public:
    void add(CapacitySeries series);
    /// \return The line of a series; it must have been added.
    const CapacityLine& line(const std::string& name) const { return m_lines.at(name); }
    void add(CapacityFigure figure) { m_figures.push_back(std::move(figure)); }

    const std::vector<CapacityFigure>& figures() const { return m_figures; }
    /// \return Both tables as Markdown.
    std::string markdown() const;

private:
    std::string slopeTable() const;
    std::string figureTable() const;

    std::vector<CapacitySeries> m_series;
    std::map<std::string, CapacityLine> m_lines;
    std::vector<CapacityFigure> m_figures;
};

} // namespace fuchsialb::bench
