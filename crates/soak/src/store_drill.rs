//! Times for which the row store is away, and its return from an older copy.

use std::time::Duration;

use serde_json::json;
use standin::gateway_platform::store_content::StoreCopy;
use tokio::time::sleep;

use crate::run::SoakEnvironment;

/// Time from the return of the row store until the operator writes again.
const REWRITE_PAUSE: Duration = Duration::from_millis(400);

impl SoakEnvironment {
    /// Takes the row store away, and changes its content before it returns.
    pub(crate) async fn take_store_away(&self, duration: Duration, change: impl FnOnce()) {
        *self.store_outages.lock() += 1;
        self.store.set_unavailable(true);
        sleep(duration).await;
        change();
        let mut outages = self.store_outages.lock();
        *outages -= 1;
        self.store.set_unavailable(*outages > 0);
    }

    /// Copies the row store, and returns the copy with the number of its document.
    pub(crate) fn copy_store(&self) -> (StoreCopy, u64) {
        let documents = self.documents.lock();
        (self.store.copy(), documents.number)
    }

    /// Brings the row store back from a copy; then the operator and the members write their rows again.
    ///
    /// The operator goes on from the number of the document in the copy.
    pub(crate) async fn drill_store(&self, (copy, number): (StoreCopy, u64), away: Duration) {
        self.take_store_away(away, || {
            let mut documents = self.documents.lock();
            self.store.restore(copy);
            documents.number = number;
        })
        .await;
        sleep(REWRITE_PAUSE).await;
        self.write_document();
        let evacuations = self.evacuations.lock();
        for (index, count) in evacuations.iter().enumerate() {
            self.write_evacuation(index, *count > 0);
        }
    }

    pub(crate) fn write_evacuation(&self, index: usize, is_evacuated: bool) {
        let value = is_evacuated.then(|| json!({ "by": "soak" }).to_string().into_bytes());
        self.store.put_bytes("op", &format!("evacuate/zone-{index}"), value);
    }
}
