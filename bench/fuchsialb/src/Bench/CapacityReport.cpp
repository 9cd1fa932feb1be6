#include "CapacityReport.h"

#include <fmt/format.h>

namespace fuchsialb::bench {

void CapacityReport::add(CapacitySeries series)
{
    m_lines[series.name] = fitLine(series.points);
    m_series.push_back(std::move(series));
}

std::string CapacityReport::markdown() const
{
    return "## Slopes\n\n" + slopeTable() + "\n## Figures at the size to design for\n\n" + figureTable();
}

std::string CapacityReport::slopeTable() const
{
    std::string text
        = "| series | x | y | points (x: y) | slope | intercept | RMS residual |\n|---|---|---|---|---|---|---|\n";
    for (const CapacitySeries& series : m_series) {
        std::string points;
        for (const CapacityPoint& point : series.points)
            points += fmt::format("{}{:g}: {:.4g}", points.empty() ? "" : ", ", point.x, point.y);
        const CapacityLine& line = m_lines.at(series.name);
        text += fmt::format("| {} | {} | {}{} | {} | {:.4g} | {:.4g} | {:.3g} |\n", series.name, series.x, series.y,
            series.repeatable ? "" : " (varies)", points, line.slope, line.intercept, line.residual);
    }
    return text;
}

std::string CapacityReport::figureTable() const
{
    std::string text = "| role | quantity | formula | value | allowance | verdict | what has to change | check |\n"
                       "|---|---|---|---|---|---|---|---|\n";
    for (const CapacityFigure& figure : m_figures) {
        const std::string allowance
            = figure.allowance > 0 ? fmt::format("{:g} {}", figure.allowance, figure.unit) : "-";
        const std::string verdict = figure.allowance <= 0 ? "-" : figure.over() ? "**OVER**" : "within";
        text += fmt::format("| {} | {}{} | {} | {:.4g} {} | {} | {} | {} | {} |\n", figure.role, figure.quantity,
            figure.repeatable ? "" : " (varies)", figure.formula, figure.value, figure.unit, allowance, verdict,
            figure.over() ? figure.change : "", figure.check);
    }
    return text;
}

} // namespace fuchsialb::bench
