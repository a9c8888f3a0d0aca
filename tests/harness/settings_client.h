#pragma once

#include "contracts/settings_answer.h"
#include "contracts/settings_proposal.h"
#include "core/endpoint.h"
#include "core/instant.h"

#include <cstdint>
#include <optional>
#include <string>

namespace sardinecourse::harness {

/** Proposes settings to a daemon, as an operator's tool does. Empty when no
 * answer came. */
std::optional<SettingsAnswer>
ProposeSettings(const Endpoint& aDaemon,
                const SettingsProposal& aProposal,
                Milliseconds aTimeout);

/** Revision in force on a daemon; empty when it does not answer. */
std::optional<std::int64_t>
RevisionInForce(const Endpoint& aDaemon, Milliseconds aTimeout);

/** Proposes the first settings until a daemon accepts them; false at the
 * timeout. */
bool
PutFirstSettingsInForce(const Endpoint& aDaemon,
                        const std::string& aYaml,
                        Milliseconds aTimeout);

}
