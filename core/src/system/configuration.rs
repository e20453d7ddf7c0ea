//! Puts accepted configurations into force. The generation never decreases.

use crate::{core::Core, declaration::Configuration};

/// Puts a configuration into force if it is newer than the one in force.
pub fn accept(core: &mut Core, accepted: Configuration) {
    if accepted.generation <= core.configuration.generation {
        return;
    }
    let declared = &accepted.declarations;
    core.classes = declared
        .classes
        .iter()
        .map(|class| (class.id(), class.clone()))
        .collect();
    core.customers = declared
        .customers
        .iter()
        .map(|customer| (customer.id(), customer.clone()))
        .collect();
    core.models = declared
        .models
        .iter()
        .map(|model| (model.id(), model.weights_version))
        .collect();
    core.configuration = accepted;
}
