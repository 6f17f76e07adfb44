#pragma once

#include <string>

namespace Galenabarrow::Report
{

/// The metrics that every process has, in the Prometheus text format: lost log lines, and unexpected errors by kind.
std::string processMetrics();

}
