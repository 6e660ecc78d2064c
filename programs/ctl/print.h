#pragma once

#include "ctl/client.h"

#include <ostream>

namespace buckthornford {

// Output for people.

void printStatus(std::ostream &out, const nlohmann::json &status);
void printMembers(std::ostream &out, const nlohmann::json &body);
void printPresets(std::ostream &out, const nlohmann::json &configuration);
void printPoison(std::ostream &out, const nlohmann::json &body);
void printError(std::ostream &out, const OperatorClient::Reply &reply);

} // namespace buckthornford
