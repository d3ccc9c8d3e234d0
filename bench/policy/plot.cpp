/*
    This file is part of cloverbarrow.

    SPDX-FileCopyrightText: 2026 The cloverbarrow authors
    SPDX-License-Identifier: Apache-2.0
*/

#include "plot.h"

#include <array>
#include <fstream>

namespace Cloverbarrow::Bench
{

namespace
{

constexpr int Left = 50;
constexpr int Top = 60;
constexpr int Height = 300;
constexpr int BarWidth = 18;
constexpr int GroupGap = 26;
constexpr double MaxMilliseconds = 100;
constexpr std::array<const char *, 6> Colours = {"#222222", "#b8b8b8", "#f2a154", "#e45756", "#72b7b2", "#4c78a8"};

double heightOf(double milliseconds)
{
    return Height * std::min(milliseconds, MaxMilliseconds) / MaxMilliseconds;
}

void writeText(std::ostream &file, double x, double y, const std::string &text)
{
    file << "<text x=\"" << x << "\" y=\"" << y << "\">" << text << "</text>\n";
}

} // namespace

void writePlot(const std::string &path, const std::vector<std::string> &services, const std::vector<std::string> &policies, const PlotValues &values)
{
    const auto groupWidth = static_cast<int>(policies.size()) * BarWidth + GroupGap;
    const int width = Left + groupWidth * static_cast<int>(services.size()) + 20;
    std::ofstream file(path);
    file << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << Top + Height + 40
         << "\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    writeText(file, 10, 16, "p99 in ms at 80% of slots, median of 5 seeds");
    for (std::size_t index = 0; index < policies.size(); ++index) {
        const auto x = 10.0 + 175.0 * static_cast<double>(index % 3);
        const std::size_t line = index / 3;
        const auto y = 24.0 + 16.0 * static_cast<double>(line);
        file << "<rect x=\"" << x << "\" y=\"" << y << "\" width=\"10\" height=\"10\" fill=\"" << Colours[index % Colours.size()] << "\"/>\n";
        writeText(file, x + 14, y + 9, policies[index]);
    }
    for (int tick = 0; tick <= 100; tick += 20) {
        const double y = Top + Height - heightOf(tick);
        file << "<line x1=\"" << Left << "\" y1=\"" << y << "\" x2=\"" << width - 10 << "\" y2=\"" << y << "\" stroke=\"#dddddd\"/>\n";
        writeText(file, 20, y + 4, std::to_string(tick));
    }
    int x = Left + GroupGap / 2;
    for (const std::string &service : services) {
        for (std::size_t index = 0; index < policies.size(); ++index) {
            const double height = heightOf(values.at(service).at(policies[index]));
            file << "<rect x=\"" << x + static_cast<int>(index) * BarWidth << "\" y=\"" << Top + Height - height << "\" width=\"" << BarWidth - 2
                 << "\" height=\"" << height << "\" fill=\"" << Colours[index % Colours.size()] << "\"/>\n";
        }
        writeText(file, x, Top + Height + 18, service);
        x += groupWidth;
    }
    file << "</svg>\n";
}

} // namespace Cloverbarrow::Bench
