#pragma once

#include "ctl/client.h"

#include <ostream>

namespace buckthornford {

// Output as text for people; the JSON arguments are bodies of a node's responses.

/// Prints the response to /status.
void printStatus(std::ostream &out, const nlohmann::json &status);
/// Prints the response to /members, one row for each instance.
void printMembers(std::ostream &out, const nlohmann::json &body);
/// Prints the response to /configuration, one row for each preset with the ranks of its classes.
void printPresets(std::ostream &out, const nlohmann::json &configuration);
/// Prints the response to /poison, one row for each content.
void printPoison(std::ostream &out, const nlohmann::json &body);
/// Prints an error response, and which change was accepted instead after a conflict.
void printError(std::ostream &out, const OperatorClient::Response &response);

} // namespace buckthornford
