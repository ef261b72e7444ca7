//! Examples of the tool's commands, which the tests run.

/// An example of the use of a command.
#[derive(Clone, Copy, Debug)]
pub struct Example {
    /// Arguments after the program's name, separated by single spaces.
    pub args: &'static str,
    /// What the command does with these arguments, as one phrase without a final full stop.
    pub description: &'static str,
}
