//! Builds the scheduler's input for a request, without the history of the request's program.

use settings::config::Kind;
use wire::ask::Ask;

use crate::core::Core;
use crate::dispatch::endpoint_state::Content;
use crate::dispatch::scheduler::Work;
use crate::filters::authenticate;
use crate::owner::turn::Result;

/// Builds the input for a request that has `prompt` tokens and is expected to generate `output`
/// tokens.
///
/// # Errors
///
/// Refuses work that no selector allows.
pub fn new(
    core: &Core,
    ask: &Ask,
    kind: Kind,
    serves: &str,
    prompt: u64,
    output: u64,
) -> Result<Work> {
    let view = core.view();
    let class = authenticate::class(&view.config, ask)?;
    Ok(Work {
        program: ask.program.clone(),
        turn: 0,
        caller: ask.caller.clone(),
        class,
        kind,
        serves: serves.to_owned(),
        prompt,
        output,
        spent: 0,
        held: Vec::new(),
        avoid: Vec::new(),
        content: Content::Plain,
        tries: 0,
        deadline: ask.deadline.map(|span| core.clock.now().plus(span)),
    })
}
